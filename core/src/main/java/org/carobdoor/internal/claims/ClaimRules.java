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

/** Decides what a message does, from the record of its key alone. */
final class ClaimRules {
    /**
     * How long the release of an unrecorded claim is kept. It has to outlast the deadline of the
     * claim request, which may still be under way.
     */
    private static final Duration RELEASE_KEPT = Duration.ofMinutes(10);

    private final Instant forgottenUntil;
    private final Instant now;

    ClaimRules(Instant forgottenUntil, Instant now) {
        this.forgottenUntil = forgottenUntil;
        this.now = now;
    }

    Decision decide(Pending pending, @Nullable ClaimRecord current) {
        return switch (pending.message()) {
            case ClaimRequest request -> claim(pending, request, current);
            case ClaimUpdate update when update.status() == 0 -> release(pending, update, current);
            case ClaimUpdate update -> done(update, current);
            case ClaimLookup lookup -> keep(recorded(current));
            default -> throw new IllegalArgumentException("no request: " + pending.message());
        };
    }

    private Decision claim(Pending p, ClaimRequest request, @Nullable ClaimRecord current) {
        Instant until = KeyPolicy.wholeSeconds(request.rememberUntil());
        if (!until.isAfter(forgottenUntil) || !until.isAfter(now)) {
            return keep(reply(Outcome.TOO_OLD));
        }
        Id128 token = Id128.of(request.token());
        boolean forgotten = current == null || !current.rememberUntil().isAfter(now);
        if (current != null && current.token().equals(token)) {
            return switch (current.state()) {
                case CLAIMED -> keep(granted(request.token()));
                case DONE -> keep(recorded(current));
                case RELEASED -> keep(reply(Outcome.RELEASED));
            };
        }
        if (!forgotten && current != null && current.state() != ClaimState.RELEASED) {
            return keep(recorded(current));
        }
        // A key is never remembered for less long than before: otherwise an older record of it
        // could outlive the newer one.
        Instant longest =
                current != null && current.rememberUntil().isAfter(until)
                        ? current.rememberUntil()
                        : until;
        ClaimRecord record =
                new ClaimRecord(p.key(), token, longest, ClaimState.CLAIMED, 0, p.from());
        return change(current, record, granted(request.token()));
    }

    private Decision done(ClaimUpdate update, @Nullable ClaimRecord current) {
        if (current == null || !current.token().equals(Id128.of(update.token()))) {
            return keep(reply(Outcome.NOT_RECORDED));
        }
        return switch (current.state()) {
            case DONE -> keep(recorded(current));
            case RELEASED -> keep(reply(Outcome.RELEASED));
            case CLAIMED -> {
                ClaimRecord done = current.done(update.status());
                yield change(current, done, recorded(done));
            }
        };
    }

    private Decision release(Pending p, ClaimUpdate update, @Nullable ClaimRecord current) {
        Id128 token = Id128.of(update.token());
        if (current == null) {
            // The claim request may arrive later; this record keeps it from holding the key.
            Instant until = Instant.ofEpochSecond(now.plus(RELEASE_KEPT).getEpochSecond());
            ClaimRecord record =
                    new ClaimRecord(p.key(), token, until, ClaimState.RELEASED, 0, p.from());
            return new Decision(Optional.of(record), reply(Outcome.RELEASED));
        }
        if (current.token().equals(token) && current.state() == ClaimState.CLAIMED) {
            return change(current, current.released(), reply(Outcome.RELEASED));
        }
        return keep(reply(Outcome.RELEASED));
    }

    /** The rule that everything else serves: a held or answered claim keeps its token. */
    private Decision change(@Nullable ClaimRecord from, ClaimRecord to, ClaimReply reply) {
        Preconditions.checkInvariant(
                from == null
                        || from.state() == ClaimState.RELEASED
                        || !from.rememberUntil().isAfter(now)
                        || (from.state() == ClaimState.CLAIMED && from.token().equals(to.token())),
                "a claim was taken from its holder");
        Preconditions.checkInvariant(
                from == null || !to.rememberUntil().isBefore(from.rememberUntil()),
                "a key would be forgotten earlier than before");
        return new Decision(Optional.of(to), reply);
    }

    private static ClaimReply recorded(@Nullable ClaimRecord record) {
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

    private static Decision keep(ClaimReply reply) {
        return new Decision(Optional.empty(), reply);
    }
}
