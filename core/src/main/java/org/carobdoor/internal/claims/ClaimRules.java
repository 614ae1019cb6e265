package org.carobdoor.internal.claims;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.carobdoor.Bytes;
import org.carobdoor.internal.Preconditions;
import org.carobdoor.message.ClaimLookup;
import org.carobdoor.message.ClaimReply;
import org.carobdoor.message.ClaimReply.Outcome;
import org.carobdoor.message.ClaimRequest;
import org.carobdoor.message.ClaimUpdate;
import org.jspecify.annotations.Nullable;

/** Decides the effect of a message from the record of its key. */
final class ClaimRules {
    /**
     * Retention of a release whose claim was not recorded. It must outlast the deadline of the
     * claim request, which may still be in transit.
     */
    private static final Duration RELEASE_RETENTION = Duration.ofMinutes(10);

    private final Instant trimmedUntil;
    private final Instant now;

    ClaimRules(Instant trimmedUntil, Instant now) {
        this.trimmedUntil = trimmedUntil;
        this.now = now;
    }

    Decision decide(PendingMessage pending, @Nullable ClaimRecord current) {
        return switch (pending.message()) {
            case ClaimRequest request -> claim(pending, request, current);
            case ClaimUpdate update when update.status() == 0 -> release(pending, update, current);
            case ClaimUpdate update -> recordOutcome(update, current);
            case ClaimLookup lookup -> unchanged(replyFor(current));
            default ->
                    throw new IllegalArgumentException("unsupported message: " + pending.message());
        };
    }

    private Decision claim(PendingMessage p, ClaimRequest request, @Nullable ClaimRecord current) {
        Instant until = KeyPolicy.roundUpToSeconds(request.rememberUntil());
        if (!until.isAfter(trimmedUntil) || !until.isAfter(now)) {
            return unchanged(reply(Outcome.TOO_OLD));
        }
        Id128 token = Id128.of(request.token());
        boolean expired = current == null || !current.rememberUntil().isAfter(now);
        if (current != null && current.token().equals(token)) {
            return switch (current.state()) {
                case CLAIMED -> unchanged(granted(request.token()));
                case DONE -> unchanged(replyFor(current));
                case RELEASED -> unchanged(reply(Outcome.RELEASED));
            };
        }
        if (!expired && current != null && current.state() != ClaimState.RELEASED) {
            return unchanged(replyFor(current));
        }
        // The retention of a key is never shortened: otherwise an older record of it could
        // outlive the newer one.
        Instant rememberUntil =
                current != null && current.rememberUntil().isAfter(until)
                        ? current.rememberUntil()
                        : until;
        ClaimRecord record =
                new ClaimRecord(p.key(), token, rememberUntil, ClaimState.CLAIMED, 0, p.from());
        return change(current, record, granted(request.token()));
    }

    private Decision recordOutcome(ClaimUpdate update, @Nullable ClaimRecord current) {
        if (current == null || !current.token().equals(Id128.of(update.token()))) {
            return unchanged(reply(Outcome.NOT_RECORDED));
        }
        return switch (current.state()) {
            case DONE -> unchanged(replyFor(current));
            case RELEASED -> unchanged(reply(Outcome.RELEASED));
            case CLAIMED -> {
                ClaimRecord done = current.done(update.status());
                yield change(current, done, replyFor(done));
            }
        };
    }

    private Decision release(PendingMessage p, ClaimUpdate update, @Nullable ClaimRecord current) {
        Id128 token = Id128.of(update.token());
        if (current == null) {
            // The claim request may arrive later; this record prevents it from being granted.
            Instant until = Instant.ofEpochSecond(now.plus(RELEASE_RETENTION).getEpochSecond());
            ClaimRecord record =
                    new ClaimRecord(p.key(), token, until, ClaimState.RELEASED, 0, p.from());
            return new Decision(Optional.of(record), reply(Outcome.RELEASED));
        }
        if (current.token().equals(token) && current.state() == ClaimState.CLAIMED) {
            return change(current, current.released(), reply(Outcome.RELEASED));
        }
        return unchanged(reply(Outcome.RELEASED));
    }

    /**
     * Checks the central invariant: a claim that is held or done keeps its token until it expires.
     */
    private Decision change(@Nullable ClaimRecord from, ClaimRecord to, ClaimReply reply) {
        Preconditions.checkInvariant(
                from == null
                        || from.state() == ClaimState.RELEASED
                        || !from.rememberUntil().isAfter(now)
                        || (from.state() == ClaimState.CLAIMED && from.token().equals(to.token())),
                "an active claim was reassigned to another token");
        Preconditions.checkInvariant(
                from == null || !to.rememberUntil().isBefore(from.rememberUntil()),
                "the retention of a key was shortened");
        return new Decision(Optional.of(to), reply);
    }

    private static ClaimReply replyFor(@Nullable ClaimRecord record) {
        if (record == null) {
            return reply(Outcome.NOT_RECORDED);
        }
        return switch (record.state()) {
            case CLAIMED -> new ClaimReply(Outcome.HELD, Bytes.empty(), 0, record.holder());
            case DONE ->
                    new ClaimReply(Outcome.DONE, Bytes.empty(), record.status(), record.holder());
            case RELEASED -> reply(Outcome.RELEASED);
        };
    }

    private static ClaimReply granted(Bytes token) {
        return new ClaimReply(Outcome.GRANTED, token, 0, "");
    }

    static ClaimReply reply(Outcome outcome) {
        return new ClaimReply(outcome, Bytes.empty(), 0, "");
    }

    private static Decision unchanged(ClaimReply reply) {
        return new Decision(Optional.empty(), reply);
    }
}
