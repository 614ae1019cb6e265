package org.carobdoor.internal.claims;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.carobdoor.message.ClaimReply;
import org.carobdoor.message.ClaimReply.Outcome;

/**
 * Decides waiting messages against the written content and against each other.
 *
 * <p>A message whose decision changes no record and rests on written records only is answered at
 * once. The others are answered after the write. A message about a key in a segment that has not
 * been read waits.
 */
final class BatchPlan {
    final Map<Id128, ClaimRecord> changes = new LinkedHashMap<>();
    final List<ClaimLogReply> answered = new ArrayList<>();
    final List<Pending> entries = new ArrayList<>();
    final List<ClaimLogReply> replies = new ArrayList<>();
    final List<Pending> waiting = new ArrayList<>();
    final Set<Long> needed = new LinkedHashSet<>();

    /** Whether a message waits until the content is known to be no older than the message. */
    boolean stale;

    private final LogContent content;
    private final ClaimRules rules;
    private final Instant confirmedAt;

    /**
     * Decides all messages of {@code queue}.
     *
     * @param confirmedAt when the content was last known to be what is stored
     */
    BatchPlan(LogContent content, Iterable<Pending> queue, Instant confirmedAt, Instant now) {
        this.content = content;
        this.confirmedAt = confirmedAt;
        this.rules = new ClaimRules(content.head().forgottenUntil(), now);
        queue.forEach(this::decide);
        replies.replaceAll(settled -> withdrawIfReleased(settled));
    }

    /** A claim that is released in the same batch must not be granted. */
    private ClaimLogReply withdrawIfReleased(ClaimLogReply settled) {
        ClaimReply reply = settled.reply();
        boolean granted = reply.outcome() == Outcome.GRANTED;
        boolean held =
                granted
                        && changes.values().stream()
                                .anyMatch(
                                        r ->
                                                r.token().equals(Id128.of(reply.token()))
                                                        && r.state() == ClaimState.CLAIMED);
        return granted && !held
                ? new ClaimLogReply(settled.ticket(), ClaimRules.reply(Outcome.RELEASED))
                : settled;
    }

    /** Returns whether some change should be written at {@code now}. */
    boolean isDue(Instant now) {
        return entries.stream().anyMatch(entry -> !entry.writeBy().isAfter(now));
    }

    /**
     * Another owner may have recorded more. What remains true of a stale record: that the call is
     * done, that the key is too old, and that the token was granted the claim.
     */
    private static boolean mayChange(Outcome outcome) {
        return outcome != Outcome.DONE && outcome != Outcome.TOO_OLD && outcome != Outcome.GRANTED;
    }

    private void decide(Pending pending) {
        List<Long> candidates = content.candidates(pending.key());
        OptionalLong unread = content.unread(pending.key(), candidates);
        if (unread.isPresent()) {
            needed.add(unread.getAsLong());
            waiting.add(pending);
            return;
        }
        ClaimRecord changed = changes.get(pending.key());
        ClaimRecord current = changed == null ? content.find(pending.key(), candidates) : changed;
        Decision decision = rules.decide(pending, current);
        ClaimLogReply settled = new ClaimLogReply(pending.ticket(), decision.reply());
        if (changed == null && decision.change().isEmpty()) {
            if (pending.arrived().isAfter(confirmedAt) && mayChange(decision.reply().outcome())) {
                waiting.add(pending);
                stale = true;
                return;
            }
            answered.add(settled);
            return;
        }
        decision.change().ifPresent(record -> changes.put(pending.key(), record));
        entries.add(pending);
        replies.add(settled);
    }
}
