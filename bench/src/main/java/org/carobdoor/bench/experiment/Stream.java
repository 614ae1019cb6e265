package org.carobdoor.bench.experiment;

import java.time.Instant;
import java.util.Optional;
import org.carobdoor.internal.routing.Reservation;
import org.jspecify.annotations.Nullable;

/** One request from its acceptance to its last token, over all attempts. */
final class Stream implements Sequence.Listener {
    private static final double RETRY_MILLIS = 200;
    private static final int MAX_RETRIES = 300;
    private static final double NETWORK_MILLIS = 1;

    private final SimulatedNode node;
    private final Workload.Spec spec;
    private final double acceptedAt;
    private @Nullable Reservation reservation;
    private @Nullable Sequence sequence;
    private int emitted;
    private int computed;
    private int retries;
    private double firstTokenAt = -1;
    private boolean wasInterrupted;
    private boolean isExporting;

    Stream(SimulatedNode node, Workload.Spec spec) {
        this.node = node;
        this.spec = spec;
        this.acceptedAt = node.time.nowMillis();
    }

    String id() {
        return "r" + spec.number();
    }

    int heldTokens() {
        return spec.promptTokens() + emitted;
    }

    /**
     * A late estimate of the end: an answer one and a half times as long as the mean, at 60 ms a
     * token. An export costs little, and a stream that outlasts the VM costs a whole prompt.
     */
    Instant expectedEnd() {
        int left = Math.max(1, spec.kind().outputTokens() * 3 / 2 - emitted);
        return node.time.instant().plusMillis(60L * left);
    }

    void start() {
        send(false);
    }

    private void send(boolean isImported) {
        int prompt = spec.promptTokens() + emitted;
        int expected = Math.max(8, spec.kind().outputTokens() - emitted);
        Optional<Reservation> r = node.router().route(node.request(spec, prompt, expected));
        if (r.isEmpty() || !r.get().startSend()) {
            r.ifPresent(Reservation::close);
            retry(isImported);
            return;
        }
        Reservation place = r.get();
        reservation = place;
        node.streamsAt(place.id()).add(this);
        Sequence s =
                new Sequence(
                        spec.number(),
                        spec.kind().entry().priority(),
                        spec.prefix(),
                        prompt,
                        spec.outputTokens() - emitted,
                        isImported,
                        this);
        sequence = s;
        node.time.after(
                NETWORK_MILLIS,
                () -> {
                    if (sequence == s && !node.platform.vm(place.id()).engine.submit(s)) {
                        onBroken(s);
                    }
                });
    }

    private void retry(boolean isImported) {
        if (++retries > MAX_RETRIES) {
            node.outcome.failed++;
            return;
        }
        node.time.after(RETRY_MILLIS, () -> send(isImported));
    }

    @Override
    public void onToken(Sequence s) {
        if (s != sequence || reservation == null) {
            return;
        }
        reservation.onTokens(1);
        emitted++;
        node.outcome.generated++;
        if (firstTokenAt < 0) {
            firstTokenAt = node.time.nowMillis();
            node.outcome.addFirstToken(s.priority, firstTokenAt - acceptedAt);
        }
        if (s.outputLeft == 0) {
            finish(s);
        }
    }

    private void finish(Sequence s) {
        countPrompt(s);
        leave();
        double gap = (node.time.nowMillis() - firstTokenAt) / (spec.outputTokens() - 1);
        node.outcome.addGap(gap);
        node.outcome.finished++;
        if (!wasInterrupted) {
            node.admission.onServed("model/m", spec.kind().entry(), firstTokenAt - acceptedAt, gap);
        }
    }

    @Override
    public void onBroken(Sequence s) {
        if (s != sequence) {
            return;
        }
        countPrompt(s);
        leave();
        node.outcome.interrupted++;
        wasInterrupted = true;
        if (node.scenario.resumption() == Scenario.Resumption.RESTART) {
            node.outcome.recomputed += emitted;
            emitted = 0;
            computed = Math.min(computed, spec.promptTokens());
        }
        send(false);
    }

    /** Returns whether its cache could be exported now. */
    boolean isExportable() {
        return sequence != null && sequence.isDecoding() && !isExporting;
    }

    void export(Instant deadline) {
        Sequence s = sequence;
        if (s == null || reservation == null) {
            return;
        }
        isExporting = true;
        double millis = node.time.nowMillis() + deadline.toEpochMilli() - node.time.millis();
        FakeEngine engine = node.platform.vm(reservation.id()).engine;
        engine.export(s, heldTokens(), millis, isDone -> onExported(s, isDone));
    }

    /** A negative answer means that it runs on, has ended, or was broken by the reclaim. */
    private void onExported(Sequence s, boolean isDone) {
        isExporting = false;
        if (sequence == s && isDone) {
            countPrompt(s);
            leave();
            wasInterrupted = true;
            node.outcome.exported++;
            send(true);
        }
    }

    /**
     * Counts prompt tokens computed at the attempt that ends, and those of them computed before.
     */
    private void countPrompt(Sequence s) {
        node.outcome.promptComputed += s.promptComputed;
        node.outcome.promptTotal += s.isImported ? 0 : s.promptTokens;
        node.outcome.recomputed += Math.min(s.promptComputed, computed);
        // The prompt is in the cache or computed once its last token is.
        computed = Math.max(computed, s.promptLeft == 0 ? heldTokens() : s.promptComputed);
    }

    private void leave() {
        Reservation r = reservation;
        if (r != null) {
            node.streamsAt(r.id()).remove(this);
            r.close();
        }
        reservation = null;
        sequence = null;
    }
}
