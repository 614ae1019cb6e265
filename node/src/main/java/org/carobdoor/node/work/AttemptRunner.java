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

/** Runs the attempts of owned requests: claims, opens streams, and decides on retries. */
final class AttemptRunner implements AutoCloseable {
    private static final Duration CLAIM_WITHIN = Duration.ofSeconds(2);
    private static final Duration CLAIM_RETRY = Duration.ofMillis(500);
    private static final long FIRST_PAUSE_MILLIS = 200;
    private static final long MAX_PAUSE_MILLIS = 5_000;

    private final WorkPorts ports;
    private final WorkTable table;
    private final Consumer<List<WorkOperation>> perform;
    private final Runnable onProgress;
    private final Map<String, Running> running = new ConcurrentHashMap<>();
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

    /** The attempts of one request at this node. */
    private final class Running {
        final String id;
        final WorkSpec spec;
        final RequestRetries retries;
        final boolean submitted;
        volatile boolean progressed;
        volatile int pauses;
        volatile boolean claimed;
        volatile boolean ended;
        volatile boolean cancelled;
        volatile RunState failedAs = RunState.UNKNOWN;
        volatile TokenStream stream = () -> {};

        Running(String id, WorkSpec spec, boolean submitted, int offset) {
            this.id = id;
            this.spec = spec;
            this.submitted = submitted;
            this.progressed = offset > 0;
            RetryBudget budget =
                    budgets.computeIfAbsent(
                            spec.entry(), entry -> RetryBudget.create(ports.clock().instant()));
            this.retries = RequestRetries.create(budget, spec.repeatable(), spec.deadline());
        }

        void open(WorkOperation.StartAttempt start) {
            if (!spec.repeatable() && !claimed && !claim(start)) {
                return;
            }
            var request = new TokenRequest(id, spec, start.attempt(), start.text(), start.offset());
            var sink = new Sink(this, start.attempt());
            try {
                TokenStream opened = ports.tokens().open(request, sink);
                stream = opened;
                if (cancelled) {
                    opened.close();
                }
            } catch (RuntimeException e) {
                // Nothing is known about how far the source came.
                sink.failed(new AttemptFailure.MaybeSent(e.toString()));
            }
        }

        private boolean claim(WorkOperation.StartAttempt start) {
            while (!cancelled && !claimsStopped) {
                Instant now = ports.clock().instant();
                if (!now.isBefore(spec.deadline())) {
                    fail(start.attempt(), RunState.NOT_RUN, "the deadline passed before a claim");
                    return false;
                }
                var outcome = ports.claims().claim(id, spec, now.plus(CLAIM_WITHIN));
                if (outcome == ClaimGate.Outcome.GRANTED) {
                    claimed = true;
                    return true;
                }
                if (outcome == ClaimGate.Outcome.HELD_ELSEWHERE) {
                    fail(start.attempt(), RunState.UNKNOWN, "another node holds the claim");
                    return false;
                }
                Pause.until(now.plus(CLAIM_RETRY), ports.clock());
            }
            return false;
        }

        /** The caller has been told of the request: by its id, or by the first tokens. */
        boolean isAccepted() {
            return submitted || progressed;
        }

        /**
         * Starts another attempt after a pause. Accepted work is not given up before its deadline:
         * a reclaim of many endpoints at once uses up the retry budget, and the pauses, which grow,
         * bound the load instead.
         */
        void restartLater(int attempt) {
            long longest = Math.min(MAX_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << Math.min(pauses, 10));
            pauses++;
            long millis = ports.random().nextLong(longest / 2, longest);
            Pause.until(ports.clock().instant().plusMillis(millis), ports.clock());
            retries.onPause();
            if (!cancelled) {
                perform.accept(table.restartAttempt(id, attempt));
            }
        }

        void fail(int attempt, RunState state, String reason) {
            failedAs = state;
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

    /** Passes what one stream makes on to the table. */
    private final class Sink implements TokenSink {
        private final Running request;
        private final int attempt;
        private boolean ended;

        Sink(Running request, int attempt) {
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
            request.pauses = 0;
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
                        request.restartLater(attempt);
                case RetryDecision.GiveUp(var reason, var state) ->
                        request.fail(attempt, state, reason + ": " + failure.detail());
            }
        }
    }

    /** Opens the stream of an attempt; blocks. */
    void start(WorkOperation.StartAttempt start, boolean takenOver) {
        Running request =
                running.computeIfAbsent(
                        start.requestId(),
                        id ->
                                new Running(
                                        id,
                                        SpecCodec.decode(
                                                start.request().payload(),
                                                start.request().deadline()),
                                        start.request().submitted(),
                                        start.offset()));
        if (start.attempt() > 1) {
            ports.listener().onResume(start.offset());
        } else if (takenOver) {
            ports.listener().onTakeover(start.offset());
        }
        request.open(start);
        if (!(table.read(start.requestId(), 0) instanceof ReadResult.Owned)) {
            // The request was given up or closed while the stream was being opened.
            stop(start.requestId());
        }
    }

    void stop(String id) {
        Running request = running.remove(id);
        if (request != null) {
            request.cancelled = true;
            request.stream.close();
        }
    }

    /** Returns whether a call that was claimed here is under way: no other node can send it. */
    boolean isClaimInFlight(String id) {
        return Optional.ofNullable(running.get(id)).map(r -> r.claimed && !r.ended).orElse(false);
    }

    /** Returns what is known about the execution of a request that has failed here. */
    RunState failedAs(String id) {
        return Optional.ofNullable(running.get(id)).map(r -> r.failedAs).orElse(RunState.UNKNOWN);
    }

    /** Takes no further claims: the node is leaving, and what it has not sent is handed over. */
    void stopClaims() {
        claimsStopped = true;
    }

    @Override
    public void close() {
        running.keySet().forEach(this::stop);
    }
}
