package org.carobdoor.bench.experiment;

import java.time.Instant;
import java.util.Optional;
import org.carobdoor.internal.routing.Reservation;
import org.jspecify.annotations.Nullable;

/** A request from its acceptance to its last token, across all attempts. */
final class SimulatedRequest implements Sequence.Listener {
    private static final double RETRY_MILLIS = 200;
    private static final int MAX_RETRIES = 300;
    private static final double NETWORK_MILLIS = 1;

    private final SimulatedNode node;
    private final Workload.RequestSpec spec;
    private final double acceptedAt;
    private @Nullable Reservation reservation;
    private @Nullable Sequence sequence;
    private int emitted;
    private int computedPromptTokens;
    private int retries;
    private double firstTokenAt = -1;
    private boolean wasInterrupted;
    private boolean isExporting;

    SimulatedRequest(SimulatedNode node, Workload.RequestSpec spec) {
        this.node = node;
        this.spec = spec;
        this.acceptedAt = node.scheduler.nowMillis();
    }

    String id() {
        return "r" + spec.number();
    }

    int contextTokens() {
        return spec.promptTokens() + emitted;
    }

    /**
     * Returns a deliberately late estimate of the end: 1.5 times the mean answer length at 60 ms
     * per token. An unnecessary export costs little, while a request that is still running at the
     * reclaim has to recompute its whole prompt.
     */
    Instant expectedEnd() {
        int left = Math.max(1, spec.kind().outputTokens() * 3 / 2 - emitted);
        return node.scheduler.instant().plusMillis(60L * left);
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
            scheduleRetry(isImported);
            return;
        }
        Reservation newReservation = r.get();
        reservation = newReservation;
        node.requestsAt(newReservation.id()).add(this);
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
        node.scheduler.schedule(
                NETWORK_MILLIS,
                () -> {
                    if (sequence == s && !node.platform.vm(newReservation.id()).engine.submit(s)) {
                        onInterrupted(s);
                    }
                });
    }

    private void scheduleRetry(boolean isImported) {
        if (++retries > MAX_RETRIES) {
            node.metrics.failed++;
            return;
        }
        node.scheduler.schedule(RETRY_MILLIS, () -> send(isImported));
    }

    @Override
    public void onToken(Sequence s) {
        if (s != sequence || reservation == null) {
            return;
        }
        reservation.onTokens(1);
        emitted++;
        node.metrics.generated++;
        if (firstTokenAt < 0) {
            firstTokenAt = node.scheduler.nowMillis();
            node.metrics.addFirstToken(s.priority, firstTokenAt - acceptedAt);
        }
        if (s.outputLeft == 0) {
            finish(s);
        }
    }

    private void finish(Sequence s) {
        countPromptTokens(s);
        closeReservation();
        double gap = (node.scheduler.nowMillis() - firstTokenAt) / (spec.outputTokens() - 1);
        node.metrics.addTokenGap(gap);
        node.metrics.finished++;
        if (!wasInterrupted) {
            node.admission.onServed("model/m", spec.kind().entry(), firstTokenAt - acceptedAt, gap);
        }
    }

    @Override
    public void onInterrupted(Sequence s) {
        if (s != sequence) {
            return;
        }
        countPromptTokens(s);
        closeReservation();
        node.metrics.interrupted++;
        wasInterrupted = true;
        if (node.scenario.resumption() == Scenario.Resumption.RESTART) {
            node.metrics.recomputed += emitted;
            emitted = 0;
            computedPromptTokens = Math.min(computedPromptTokens, spec.promptTokens());
        }
        send(false);
    }

    /** Returns whether the KV cache of this request could be exported now. */
    boolean isExportable() {
        return sequence != null && sequence.isDecoding() && !isExporting;
    }

    void export(Instant deadline) {
        Sequence s = sequence;
        if (s == null || reservation == null) {
            return;
        }
        isExporting = true;
        double millis =
                node.scheduler.nowMillis() + deadline.toEpochMilli() - node.scheduler.millis();
        FakeEngine engine = node.platform.vm(reservation.id()).engine;
        engine.export(s, contextTokens(), millis, isExported -> onExported(s, isExported));
    }

    /**
     * If the export failed, the sequence still runs, has finished or was interrupted by the
     * reclaim.
     */
    private void onExported(Sequence s, boolean isExported) {
        isExporting = false;
        if (sequence == s && isExported) {
            countPromptTokens(s);
            closeReservation();
            wasInterrupted = true;
            node.metrics.exported++;
            send(true);
        }
    }

    /**
     * Counts the prompt tokens that the ending attempt computed, and how many of them an earlier
     * attempt had already computed.
     */
    private void countPromptTokens(Sequence s) {
        node.metrics.promptComputed += s.promptComputed;
        node.metrics.promptTotal += s.isImported ? 0 : s.promptTokens;
        node.metrics.recomputed += Math.min(s.promptComputed, computedPromptTokens);
        // When no prompt token is left, the whole context has been computed or was cached.
        computedPromptTokens =
                Math.max(
                        computedPromptTokens,
                        s.promptLeft == 0 ? contextTokens() : s.promptComputed);
    }

    private void closeReservation() {
        Reservation r = reservation;
        if (r != null) {
            node.requestsAt(r.id()).remove(this);
            r.close();
        }
        reservation = null;
        sequence = null;
    }
}
