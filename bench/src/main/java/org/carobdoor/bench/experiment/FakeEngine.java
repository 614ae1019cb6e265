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

/** A simulated engine with continuous batching, scheduling by priority class and a prefix cache. */
final class FakeEngine {
    private final EventScheduler scheduler;
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
    private boolean isKilled;
    private double exportFreeAt;

    FakeEngine(EventScheduler scheduler, EngineModel model, double speed) {
        this.scheduler = scheduler;
        this.model = model;
        this.speed = speed;
    }

    /** Queues a sequence; returns false if the engine has been killed. */
    boolean submit(Sequence s) {
        if (isKilled) {
            return false;
        }
        waiting.add(s);
        startStep();
        return true;
    }

    /**
     * Queues the export of a sequence, which stops generating when its export starts. Calls {@code
     * done} with whether the export succeeded. An export that cannot finish by {@code
     * deadlineMillis}, which is not after the reclaim, is refused and the sequence continues.
     */
    void export(Sequence s, int contextTokens, double deadlineMillis, Consumer<Boolean> done) {
        double start = Math.max(scheduler.nowMillis(), exportFreeAt);
        double end =
                start
                        + model.exportMillis()
                        + 1_000 * contextTokens / model.exportTokensPerSecond();
        if (end >= deadlineMillis) {
            done.accept(false);
            return;
        }
        exportFreeAt = end;
        scheduler.schedule(
                start - scheduler.nowMillis(),
                () -> {
                    if (isKilled || !running.remove(s)) {
                        done.accept(false);
                    } else {
                        scheduler.schedule(end - start, () -> done.accept(true));
                    }
                });
    }

    void kill() {
        isKilled = true;
        List<Sequence> lost = new ArrayList<>(running);
        lost.addAll(waiting);
        running.clear();
        waiting.clear();
        lost.forEach(s -> s.listener.onInterrupted(s));
    }

    /** Returns the tokens left to process, weighted as in {@link RouteRequest}. */
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
        if (isStepping || isKilled) {
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
        scheduler.schedule(millis / speed, () -> endStep(emitting));
    }

    private void endStep(List<Sequence> emitting) {
        isStepping = false;
        for (Sequence s : emitting) {
            // The sequence may have been exported during the step.
            if (isKilled || !running.contains(s)) {
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
                recordChange(CacheChange.Kind.STORED, prefix.at(i));
            }
        }
        var oldest = cache.keySet().iterator();
        for (int n = cache.size() - model.cacheBlocks(); n > 0; n--) {
            recordChange(CacheChange.Kind.EVICTED, oldest.next());
            oldest.remove();
        }
    }

    private void recordChange(CacheChange.Kind kind, long hash) {
        changes.add(new CacheChange(changeSequence++, kind, hash));
    }
}
