package org.carobdoor.node.work;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.carobdoor.RunState;
import org.carobdoor.internal.retries.AttemptFailure;
import org.carobdoor.internal.retries.RequestRetries;
import org.carobdoor.internal.retries.RetryBudget;
import org.carobdoor.internal.retries.RetryDecision;
import org.carobdoor.internal.work.ReadResult;
import org.carobdoor.internal.work.WorkOperation;
import org.carobdoor.internal.work.WorkTable;

/**
 * Runs the attempts of owned requests: acquires claims, opens streams, and applies the retry
 * policy.
 */
final class AttemptRunner implements AutoCloseable {
    private static final Duration CLAIM_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration CLAIM_RETRY_INTERVAL = Duration.ofMillis(500);
    private static final long INITIAL_BACKOFF_MILLIS = 200;
    private static final long MAX_BACKOFF_MILLIS = 5_000;

    private final WorkPorts ports;
    private final WorkTable table;
    private final Consumer<List<WorkOperation>> perform;
    private final Runnable onProgress;
    private final Map<String, RunningRequest> running = new ConcurrentHashMap<>();
    private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();
    private volatile boolean claimsStopped;

    AttemptRunner(
            WorkPorts ports,
            WorkTable table,
            Consumer<List<WorkOperation>> perform,
            Runnable onProgress) {
        this.onProgress = onProgress;
        this.ports = ports;
        this.table = table;
        this.perform = perform;
    }

    /** State of one request whose attempts run on this node. */
    private final class RunningRequest {
        final String id;
        final WorkSpec spec;
        final RequestRetries retries;
        final boolean submitted;
        volatile boolean progressed;
        volatile int backoffCount;
        volatile boolean claimed;
        volatile boolean ended;
        volatile boolean cancelled;
        volatile RunState failureRunState = RunState.UNKNOWN;
        volatile TokenStream stream = () -> {};

        RunningRequest(String id, WorkSpec spec, boolean submitted, int offset) {
            this.id = id;
            this.spec = spec;
            this.submitted = submitted;
            this.progressed = offset > 0;
            RetryBudget budget =
                    budgets.computeIfAbsent(
                            spec.entry(), entry -> RetryBudget.create(ports.clock().instant()));
            this.retries = RequestRetries.create(budget, spec.repeatable(), spec.deadline());
        }

        void openStream(WorkOperation.StartAttempt start) {
            if (!spec.repeatable() && !claimed && !acquireClaim(start)) {
                return;
            }
            var request = new TokenRequest(id, spec, start.attempt(), start.text(), start.offset());
            var sink = new AttemptSink(this, start.attempt());
            try {
                TokenStream opened = ports.tokens().open(request, sink);
                stream = opened;
                if (cancelled) {
                    opened.close();
                }
            } catch (RuntimeException e) {
                // The source may have sent the request before it failed.
                sink.failed(new AttemptFailure.MaybeSent(e.toString()));
            }
        }

        private boolean acquireClaim(WorkOperation.StartAttempt start) {
            while (!cancelled && !claimsStopped) {
                Instant now = ports.clock().instant();
                if (!now.isBefore(spec.deadline())) {
                    fail(
                            start.attempt(),
                            RunState.NOT_RUN,
                            "the deadline passed before the claim was granted");
                    return false;
                }
                var outcome = ports.claims().claim(id, spec, now.plus(CLAIM_TIMEOUT));
                if (outcome == ClaimAcquirer.Outcome.GRANTED) {
                    claimed = true;
                    return true;
                }
                if (outcome == ClaimAcquirer.Outcome.HELD_ELSEWHERE) {
                    fail(start.attempt(), RunState.UNKNOWN, "another node holds the claim");
                    return false;
                }
                Pause.until(now.plus(CLAIM_RETRY_INTERVAL), ports.clock());
            }
            return false;
        }

        /** Returns whether the caller has received the request id or the first tokens. */
        boolean isAccepted() {
            return submitted || progressed;
        }

        /**
         * Starts another attempt after an exponential backoff with jitter. Accepted work is retried
         * until its deadline even when the retry budget is exhausted, as happens when many
         * endpoints are reclaimed at once; the backoff limits the load instead.
         */
        void restartAfterBackoff(int attempt) {
            long maxBackoffMillis =
                    Math.min(
                            MAX_BACKOFF_MILLIS,
                            INITIAL_BACKOFF_MILLIS << Math.min(backoffCount, 10));
            backoffCount++;
            long backoffMillis = ports.random().nextLong(maxBackoffMillis / 2, maxBackoffMillis);
            Pause.until(ports.clock().instant().plusMillis(backoffMillis), ports.clock());
            retries.onPause();
            if (!cancelled) {
                perform.accept(table.restartAttempt(id, attempt));
            }
        }

        void fail(int attempt, RunState state, String reason) {
            failureRunState = state;
            finishClaim(state);
            ports.listener().onFailed(state);
            perform.accept(table.failAttempt(id, attempt, reason));
        }

        void finishClaim(RunState state) {
            ended = true;
            if (claimed) {
                ports.claims().finished(id, spec, state);
            }
        }
    }

    /** Forwards the tokens and the end of one stream to the table. */
    private final class AttemptSink implements TokenSink {
        private final RunningRequest request;
        private final int attempt;
        private boolean ended;

        AttemptSink(RunningRequest request, int attempt) {
            this.request = request;
            this.attempt = attempt;
        }

        @Override
        public void tokens(int count, String text) {
            if (ended || request.cancelled) {
                return;
            }
            request.retries.onProgress();
            request.progressed = true;
            request.backoffCount = 0;
            perform.accept(table.onTokens(request.id, attempt, count, text, false));
            onProgress.run();
        }

        @Override
        public void end() {
            if (ended || request.cancelled) {
                return;
            }
            ended = true;
            request.finishClaim(RunState.RAN);
            perform.accept(table.onTokens(request.id, attempt, 0, "", true));
            onProgress.run();
        }

        @Override
        public void failed(AttemptFailure failure) {
            if (ended || request.cancelled) {
                return;
            }
            ended = true;
            switch (request.retries.onFailure(failure, ports.clock().instant())) {
                case RetryDecision.Retry retry ->
                        perform.accept(table.restartAttempt(request.id, attempt));
                case RetryDecision.GiveUp(var reason, var state)
                        when request.isAccepted() && reason.isTemporary() ->
                        request.restartAfterBackoff(attempt);
                case RetryDecision.GiveUp(var reason, var state) ->
                        request.fail(attempt, state, reason + ": " + failure.detail());
            }
        }
    }

    /** Opens the stream of an attempt. Blocks until the stream is open. */
    void start(WorkOperation.StartAttempt start, boolean takenOver) {
        RunningRequest request =
                running.computeIfAbsent(
                        start.requestId(),
                        id ->
                                new RunningRequest(
                                        id,
                                        WorkSpecCodec.decode(
                                                start.request().payload(),
                                                start.request().deadline()),
                                        start.request().submitted(),
                                        start.offset()));
        if (start.attempt() > 1) {
            ports.listener().onResume(start.offset());
        } else if (takenOver) {
            ports.listener().onTakeover(start.offset());
        }
        request.openStream(start);
        if (!(table.read(start.requestId(), 0) instanceof ReadResult.Owned)) {
            // The request was closed or moved to another owner while the stream was being opened.
            stop(start.requestId());
        }
    }

    void stop(String id) {
        RunningRequest request = running.remove(id);
        if (request != null) {
            request.cancelled = true;
            request.stream.close();
        }
    }

    /**
     * Returns whether a call claimed by this node is still in flight. No other node can send it.
     */
    boolean isClaimInFlight(String id) {
        return Optional.ofNullable(running.get(id)).map(r -> r.claimed && !r.ended).orElse(false);
    }

    /** Returns whether a request that failed on this node was executed, as far as is known. */
    RunState failureRunState(String id) {
        return Optional.ofNullable(running.get(id))
                .map(r -> r.failureRunState)
                .orElse(RunState.UNKNOWN);
    }

    /** Stops acquiring claims. Called when the node leaves; calls not yet sent are handed over. */
    void stopClaims() {
        claimsStopped = true;
    }

    @Override
    public void close() {
        running.keySet().forEach(this::stop);
    }
}
