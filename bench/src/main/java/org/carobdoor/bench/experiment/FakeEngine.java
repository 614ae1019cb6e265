package org.carobdoor.bench.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.carobdoor.internal.routing.CacheChange;
import org.carobdoor.internal.routing.PrefixHashes;
import org.carobdoor.internal.routing.RouteRequest;

/** An engine that batches continuously, orders by class and caches prompt prefixes. */
final class FakeEngine {
    private final Timeline time;
    private final EngineModel model;
    private final double speed;
    private final TreeSet<Sequence> waiting =
            new TreeSet<>(
                    Comparator.comparingInt((Sequence s) -> s.priority)
                            .thenComparingLong(s -> s.number));
    private final List<Sequence> running = new ArrayList<>();
    private final LinkedHashMap<Long, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
    private List<CacheChange> changes = new ArrayList<>();
    private long changeSequence;
    private boolean isStepping;
    private boolean isDead;
    private double exportFreeAt;

    FakeEngine(Timeline time, EngineModel model, double speed) {
        this.time = time;
        this.model = model;
        this.speed = speed;
    }

    /** Returns false if the VM is gone. */
    boolean submit(Sequence s) {
        if (isDead) {
            return false;
        }
        waiting.add(s);
        startStep();
        return true;
    }

    /**
     * Stops the sequence when its turn comes, and calls {@code done} with whether it was exported.
     * Exports that cannot finish by {@code deadlineMillis}, which is at most the time of the
     * reclaim, are refused and the sequence runs on.
     */
    void export(Sequence s, int heldTokens, double deadlineMillis, Consumer<Boolean> done) {
        double start = Math.max(time.nowMillis(), exportFreeAt);
        double end =
                start + model.exportMillis() + 1_000 * heldTokens / model.exportTokensPerSecond();
        if (end >= deadlineMillis) {
            done.accept(false);
            return;
        }
        exportFreeAt = end;
        time.after(
                start - time.nowMillis(),
                () -> {
                    if (isDead || !running.remove(s)) {
                        done.accept(false);
                    } else {
                        time.after(end - start, () -> done.accept(true));
                    }
                });
    }

    void kill() {
        isDead = true;
        List<Sequence> lost = new ArrayList<>(running);
        lost.addAll(waiting);
        running.clear();
        waiting.clear();
        lost.forEach(s -> s.listener.onBroken(s));
    }

    /** Returns the tokens still to process, in the unit of {@link RouteRequest}. */
    long outstanding() {
        double sum = 0;
        for (Sequence s : running) {
            sum += s.promptLeft * RouteRequest.PROMPT_TOKEN_WEIGHT + s.outputLeft;
        }
        for (Sequence s : waiting) {
            sum += s.promptTokens * RouteRequest.PROMPT_TOKEN_WEIGHT + s.outputLeft;
        }
        return Math.round(sum);
    }

    int requests() {
        return running.size() + waiting.size();
    }

    List<CacheChange> takeChanges() {
        List<CacheChange> out = changes;
        changes = new ArrayList<>();
        return out;
    }

    private void startStep() {
        if (isStepping || isDead) {
            return;
        }
        while (running.size() < model.maxBatch() && !waiting.isEmpty()) {
            Sequence s = waiting.pollFirst();
            s.isRunning = true;
            s.promptLeft = s.isImported ? 0 : Math.max(1, s.promptTokens - cachedTokens(s.prefix));
            running.add(s);
        }
        if (running.isEmpty()) {
            return;
        }
        List<Sequence> emitting = new ArrayList<>();
        for (Sequence s : running) {
            if (s.isDecoding()) {
                emitting.add(s);
            }
        }
        double millis = model.stepMillis() + emitting.size() * model.sequenceMillis();
        int budget = model.promptTokensPerStep();
        for (int priority = 1; priority <= 4 && budget > 0; priority++) {
            for (Sequence s : running) {
                if (s.priority == priority && s.promptLeft > 0 && budget > 0) {
                    int n = Math.min(budget, s.promptLeft);
                    budget -= n;
                    s.promptLeft -= n;
                    s.promptComputed += n;
                    millis += n * model.promptTokenMillis();
                    if (s.promptLeft == 0) {
                        emitting.add(s);
                    }
                }
            }
        }
        isStepping = true;
        time.after(millis / speed, () -> endStep(emitting));
    }

    private void endStep(List<Sequence> emitting) {
        isStepping = false;
        for (Sequence s : emitting) {
            // It can have been exported during the step.
            if (isDead || !running.contains(s)) {
                continue;
            }
            if (s.emitted == 0) {
                store(s.prefix);
            }
            s.emitted++;
            s.outputLeft--;
            if (s.outputLeft == 0) {
                running.remove(s);
            }
            s.listener.onToken(s);
        }
        startStep();
    }

    private int cachedTokens(PrefixHashes prefix) {
        int n = 0;
        while (n < prefix.size() && cache.get(prefix.at(n)) != null) {
            n++;
        }
        return n * prefix.blockTokens();
    }

    private void store(PrefixHashes prefix) {
        for (int i = prefix.size() - 1; i >= 0; i--) {
            if (cache.put(prefix.at(i), true) == null) {
                note(CacheChange.Kind.STORED, prefix.at(i));
            }
        }
        var oldest = cache.keySet().iterator();
        for (int n = cache.size() - model.cacheBlocks(); n > 0; n--) {
            note(CacheChange.Kind.EVICTED, oldest.next());
            oldest.remove();
        }
    }

    private void note(CacheChange.Kind kind, long hash) {
        changes.add(new CacheChange(changeSequence++, kind, hash));
    }
}
