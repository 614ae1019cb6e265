package org.carobdoor.internal.claims;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.carobdoor.Failure;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;
import org.carobdoor.internal.Preconditions;
import org.carobdoor.message.ClaimReply;
import org.carobdoor.message.ClaimRequest;
import org.carobdoor.message.ClaimUpdate;
import org.jspecify.annotations.Nullable;

/**
 * The state machine of one request's claim on the node that received the request.
 *
 * <pre>{@code
 * while (claimant.verdict().isEmpty()) {
 *     switch (claimant.next()) {
 *         case ClaimantStep.Ask ask -> claimant.onReply(call(ask));
 *         case ClaimantStep.Pause pause -> sleepUntil(pause.until());
 *         case ClaimantStep.Idle idle -> {}
 *     }
 * }
 * if (claimant.verdict().get() instanceof ClaimVerdict.Granted && claimant.beginSend()) {
 *     claimant.done(send());
 * }
 * }</pre>
 *
 * <p>Every retry uses the same token, so losing a reply is safe. A claimant that may have been
 * granted the claim but does not send releases it; the release is retried until it is confirmed or
 * the retry limit is reached. {@link #beginSend} must permit every send; it succeeds at most once,
 * and fails after the deadline and after a release. Not thread-safe.
 */
public final class Claimant {
    private enum Phase {
        ASKING,
        GRANTED,
        SENT,
        REPORTING,
        CLOSED
    }

    /** An owner that is available answers within its write interval and two operations. */
    private static final Duration ASK_TIMEOUT = Duration.ofMillis(500);

    /**
     * Must exceed the 0.5 s for which an owner delays updates to batch them: otherwise every update
     * is also sent to a second owner, whose write conflicts with that of the first.
     */
    private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(2);

    private static final Duration RETRY_BASE = Duration.ofMillis(10);

    private static final Duration RETRY_MAX = Duration.ofSeconds(1);

    /**
     * Time after which an unconfirmed update is abandoned; repeated requests are then told that the
     * outcome is unknown.
     */
    private static final Duration REPORT_RETRY_LIMIT = Duration.ofMinutes(10);

    /**
     * If two owners cannot write, the key-value service is assumed to be unavailable and the claim
     * is refused without further waiting.
     */
    private static final int MAX_TOLERATED_UNAVAILABLE = 1;

    private final ClaimRequest request;
    private final InstantSource clock;
    private final BackOff backOff;
    private Phase phase = Phase.ASKING;
    private @Nullable ClaimVerdict verdict;
    private Instant notBefore = Instant.EPOCH;
    private Instant reportUntil = Instant.EPOCH;
    private boolean requestSent;
    private boolean sent;
    private int reportedStatus;
    private int candidate;
    private int unavailableReplies;

    /** Creates the claimant of {@code request}, whose token must be unique. */
    public Claimant(ClaimRequest request, InstantSource clock, RandomGenerator random) {
        this.request = request;
        this.clock = clock;
        this.backOff = new BackOff(RETRY_BASE, RETRY_MAX, random);
    }

    /** Returns the token of the request. */
    public Id128 token() {
        return Id128.of(request.token());
    }

    /** Returns the hash of the request's key. */
    public Id128 key() {
        return Id128.of(request.keyHash());
    }

    /** Returns the result of the claim once it is decided. */
    public Optional<ClaimVerdict> verdict() {
        return Optional.ofNullable(verdict);
    }

    /** Returns whether a send has begun. */
    public boolean isSent() {
        return sent;
    }

    /** Returns the next step for the driver. */
    public ClaimantStep next() {
        Instant now = clock.instant();
        if (phase == Phase.ASKING && !now.isBefore(request.deadline())) {
            giveUp("no owner granted the claim by the deadline");
        }
        if (phase == Phase.REPORTING && !now.isBefore(reportUntil)) {
            phase = Phase.CLOSED;
        }
        if (phase != Phase.ASKING && phase != Phase.REPORTING) {
            return new ClaimantStep.Idle();
        }
        if (now.isBefore(notBefore)) {
            return new ClaimantStep.Pause(notBefore);
        }
        if (phase == Phase.REPORTING) {
            return new ClaimantStep.Ask(candidate, update(), now.plus(REPORT_TIMEOUT));
        }
        requestSent = true;
        Instant timeout = now.plus(ASK_TIMEOUT);
        Instant end = request.deadline();
        return new ClaimantStep.Ask(candidate, request, timeout.isBefore(end) ? timeout : end);
    }

    /**
     * Handles the reply to the last message; a reply that arrives after its deadline may be
     * dropped.
     */
    public void onReply(Result<ClaimReply> result) {
        switch (result) {
            case Result.Err<ClaimReply> err -> tryNextOwner();
            case Result.Ok<ClaimReply>(var reply) -> {
                if (phase == Phase.ASKING) {
                    onClaimReply(reply);
                } else if (phase == Phase.REPORTING) {
                    onConfirmation(reply);
                }
            }
        }
    }

    private void onClaimReply(ClaimReply reply) {
        switch (reply.outcome()) {
            case GRANTED -> onGranted(reply);
            case HELD -> onHeld(reply);
            case DONE -> close(new ClaimVerdict.Done(reply.status(), reply.holder()));
            case TOO_OLD -> close(new ClaimVerdict.TooOld());
            case RELEASED -> giveUp("the claim was released");
            case UNAVAILABLE -> onUnavailable();
            default -> tryNextOwner();
        }
    }

    private void onUnavailable() {
        unavailableReplies++;
        if (unavailableReplies > MAX_TOLERATED_UNAVAILABLE) {
            giveUp("the key-value service is unavailable");
        } else {
            tryNextOwner();
        }
    }

    /** Releases the claim if an earlier request got no reply, since it may still be granted. */
    private void onHeld(ClaimReply reply) {
        boolean askedBefore = candidate > 0;
        close(new ClaimVerdict.Held(reply.holder()));
        if (askedBefore) {
            report(0);
        }
    }

    private void onGranted(ClaimReply reply) {
        Preconditions.checkInvariant(
                reply.token().equals(request.token()), "claim granted to a different token");
        if (clock.instant().isBefore(request.deadline())) {
            phase = Phase.GRANTED;
            verdict = new ClaimVerdict.Granted(token());
        } else {
            giveUp("the claim was granted after the deadline");
        }
    }

    private void onConfirmation(ClaimReply reply) {
        switch (reply.outcome()) {
            case NOT_OWNER, UNAVAILABLE, GRANTED -> tryNextOwner();
            default -> phase = Phase.CLOSED;
        }
    }

    /**
     * Requests permission to send the call; must be called right before the first byte is sent.
     *
     * @return whether the call may be sent; true at most once
     */
    public boolean beginSend() {
        if (phase != Phase.GRANTED || !clock.instant().isBefore(request.deadline())) {
            return false;
        }
        phase = Phase.SENT;
        sent = true;
        return true;
    }

    /**
     * Reverts {@link #beginSend} after a connection was refused before any byte was sent, so that
     * another endpoint can be tried or the claim can be released.
     */
    public void notSent() {
        Preconditions.checkInvariant(phase == Phase.SENT, "notSent() was called without a send");
        phase = Phase.GRANTED;
        sent = false;
    }

    /** Reports the HTTP status with which the call was answered. */
    public void done(int status) {
        Preconditions.checkArgument(status > 0, "status must be positive");
        Preconditions.checkInvariant(phase == Phase.SENT, "done() was called without a send");
        report(status);
    }

    /** Releases the claim; nothing has been or will be sent. */
    public void release() {
        Preconditions.checkInvariant(!sent, "release() was called after the call was sent");
        if (phase == Phase.ASKING) {
            giveUp("the request was withdrawn");
        } else if (phase == Phase.GRANTED) {
            report(0);
        }
    }

    private void giveUp(String detail) {
        verdict =
                new ClaimVerdict.Refused(
                        new Failure(FailureKind.NOT_DONE, "claim", "log " + request.log(), detail));
        if (requestSent) {
            report(0);
        } else {
            phase = Phase.CLOSED;
        }
    }

    private void report(int status) {
        reportedStatus = status;
        reportUntil = clock.instant().plus(REPORT_RETRY_LIMIT);
        phase = Phase.REPORTING;
        notBefore = Instant.EPOCH;
        backOff.reset();
    }

    private void close(ClaimVerdict decided) {
        verdict = decided;
        phase = Phase.CLOSED;
    }

    private void tryNextOwner() {
        candidate++;
        notBefore = clock.instant().plus(backOff.next());
    }

    private ClaimUpdate update() {
        return new ClaimUpdate(request.log(), request.keyHash(), request.token(), reportedStatus);
    }
}
