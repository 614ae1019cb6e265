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
 * One request's claim at the node that received the request.
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
 * <p>Every repetition carries the same token, so a lost reply does no harm. Whoever may have been
 * granted the claim and does not send releases it; the release is repeated until it is confirmed or
 * patience ends. {@link #beginSend} is the only way to a send, succeeds at most once, and fails
 * after the deadline and after a release. Not safe for use by several threads at once.
 */
public final class Claimant {
    private enum Phase {
        ASKING,
        GRANTED,
        SENT,
        REPORTING,
        CLOSED
    }

    /** An owner answers within its write interval and two operations, unless it is gone. */
    private static final Duration ASK_TIMEOUT = Duration.ofMillis(500);

    /**
     * Has to exceed the time for which an owner holds outcomes back, 0.5 s: otherwise every outcome
     * is sent to a second owner as well, which then conflicts with the first.
     */
    private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(2);

    private static final Duration RETRY_BASE = Duration.ofMillis(10);

    private static final Duration RETRY_MOST = Duration.ofSeconds(1);

    /** An update that is not confirmed by then is lost; repeats are then told "unknown". */
    private static final Duration REPORT_PATIENCE = Duration.ofMinutes(10);

    /** Two owners that cannot write mean that the platform is out, so waiting is in vain. */
    private static final int UNAVAILABLE_TOLERATED = 1;

    private final ClaimRequest request;
    private final InstantSource clock;
    private final BackOff backOff;
    private Phase phase = Phase.ASKING;
    private @Nullable ClaimVerdict verdict;
    private Instant notBefore = Instant.EPOCH;
    private Instant reportUntil = Instant.EPOCH;
    private boolean asked;
    private boolean sent;
    private int reportedStatus;
    private int candidate;
    private int unavailable;

    /** Creates the claimant of {@code request}, whose token must be new. */
    public Claimant(ClaimRequest request, InstantSource clock, RandomGenerator random) {
        this.request = request;
        this.clock = clock;
        this.backOff = new BackOff(RETRY_BASE, RETRY_MOST, random);
    }

    /** Returns the token of the request. */
    public Id128 token() {
        return Id128.of(request.token());
    }

    /** Returns the hash of the request's key. */
    public Id128 key() {
        return Id128.of(request.keyHash());
    }

    /** Returns the verdict once there is one. */
    public Optional<ClaimVerdict> verdict() {
        return Optional.ofNullable(verdict);
    }

    /** Returns whether a send has begun. */
    public boolean isSent() {
        return sent;
    }

    /** Returns what to do now. */
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
        asked = true;
        Instant timeout = now.plus(ASK_TIMEOUT);
        Instant end = request.deadline();
        return new ClaimantStep.Ask(candidate, request, timeout.isBefore(end) ? timeout : end);
    }

    /** Takes the reply to the last message; a reply that comes too late may be left out. */
    public void onReply(Result<ClaimReply> result) {
        switch (result) {
            case Result.Err<ClaimReply> err -> askAnother();
            case Result.Ok<ClaimReply>(var reply) -> {
                if (phase == Phase.ASKING) {
                    onAnswer(reply);
                } else if (phase == Phase.REPORTING) {
                    onConfirmation(reply);
                }
            }
        }
    }

    private void onAnswer(ClaimReply reply) {
        switch (reply.outcome()) {
            case GRANTED -> onGranted(reply);
            case HELD -> onHeld(reply);
            case DONE -> close(new ClaimVerdict.Done(reply.status(), reply.holder()));
            case TOO_OLD -> close(new ClaimVerdict.TooOld());
            case RELEASED -> giveUp("the claim was released");
            case UNAVAILABLE -> onUnavailable();
            default -> askAnother();
        }
    }

    private void onUnavailable() {
        unavailable++;
        if (unavailable > UNAVAILABLE_TOLERATED) {
            giveUp("the key-value service does not answer");
        } else {
            askAnother();
        }
    }

    /** An earlier message that got no reply may have been granted the claim in the meantime. */
    private void onHeld(ClaimReply reply) {
        boolean askedBefore = candidate > 0;
        close(new ClaimVerdict.Held(reply.holder()));
        if (askedBefore) {
            report(0);
        }
    }

    private void onGranted(ClaimReply reply) {
        Preconditions.checkInvariant(
                reply.token().equals(request.token()), "a grant for another token");
        if (clock.instant().isBefore(request.deadline())) {
            phase = Phase.GRANTED;
            verdict = new ClaimVerdict.Granted(token());
        } else {
            giveUp("the claim was granted after the deadline");
        }
    }

    private void onConfirmation(ClaimReply reply) {
        switch (reply.outcome()) {
            case NOT_OWNER, UNAVAILABLE, GRANTED -> askAnother();
            default -> phase = Phase.CLOSED;
        }
    }

    /**
     * Asks for leave to send the call; must be called right before the first byte is sent.
     *
     * @return whether it may be sent; true at most once
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
     * Takes back {@link #beginSend} after a connection was refused before any byte was sent, so
     * that another endpoint can be tried or the claim be released.
     */
    public void notSent() {
        Preconditions.checkInvariant(phase == Phase.SENT, "nothing was about to be sent");
        phase = Phase.GRANTED;
        sent = false;
    }

    /** Reports the HTTP status of the answer. */
    public void done(int status) {
        Preconditions.checkArgument(status > 0, "a call that is done has a status");
        Preconditions.checkInvariant(phase == Phase.SENT, "an answer without a send");
        report(status);
    }

    /** Gives the claim up; nothing has been sent and nothing will be. */
    public void release() {
        Preconditions.checkInvariant(!sent, "a claim is released after its call was sent");
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
        if (asked) {
            report(0);
        } else {
            phase = Phase.CLOSED;
        }
    }

    private void report(int status) {
        reportedStatus = status;
        reportUntil = clock.instant().plus(REPORT_PATIENCE);
        phase = Phase.REPORTING;
        notBefore = Instant.EPOCH;
        backOff.reset();
    }

    private void close(ClaimVerdict decided) {
        verdict = decided;
        phase = Phase.CLOSED;
    }

    private void askAnother() {
        candidate++;
        notBefore = clock.instant().plus(backOff.next());
    }

    private ClaimUpdate update() {
        return new ClaimUpdate(request.log(), request.keyHash(), request.token(), reportedStatus);
    }
}
