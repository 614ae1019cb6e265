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
 * Decides the waiting messages in order, based on the written content and on the changes made by
 * earlier messages of the same batch.
 *
 * <p>A message that changes no record and depends only on written records is answered immediately.
 * Other messages are answered after the write. A message whose key may be in a segment that has not
 * been read waits for that read.
 */
final class BatchPlan {
    final Map<Id128, ClaimRecord> changes = new LinkedHashMap<>();
    final List<ClaimLogReply> immediateReplies = new ArrayList<>();
    final List<PendingMessage> entries = new ArrayList<>();
    final List<ClaimLogReply> repliesAfterWrite = new ArrayList<>();
    final List<PendingMessage> waiting = new ArrayList<>();
    final Set<Long> unreadSegments = new LinkedHashSet<>();

    /** Whether a message waits for the head to be read again after the message arrived. */
    boolean refreshNeeded;

    private final LogContent content;
    private final ClaimRules rules;
    private final Instant confirmedAt;

    /**
     * Decides all messages in {@code queue}.
     *
     * @param confirmedAt when the content was last known to match the stored head
     */
    BatchPlan(
            LogContent content, Iterable<PendingMessage> queue, Instant confirmedAt, Instant now) {
        this.content = content;
        this.confirmedAt = confirmedAt;
        this.rules = new ClaimRules(content.head().trimmedUntil(), now);
        queue.forEach(this::decide);
        repliesAfterWrite.replaceAll(logReply -> withdrawIfReleased(logReply));
    }

    /** Replaces a grant whose claim is released in the same batch, which must not be granted. */
    private ClaimLogReply withdrawIfReleased(ClaimLogReply logReply) {
        ClaimReply reply = logReply.reply();
        boolean granted = reply.outcome() == Outcome.GRANTED;
        boolean held =
                granted
                        && changes.values().stream()
                                .anyMatch(
                                        r ->
                                                r.token().equals(Id128.of(reply.token()))
                                                        && r.state() == ClaimState.CLAIMED);
        return granted && !held
                ? new ClaimLogReply(logReply.ticket(), ClaimRules.reply(Outcome.RELEASED))
                : logReply;
    }

    /** Returns whether a change is due to be written at {@code now}. */
    boolean isDue(Instant now) {
        return entries.stream().anyMatch(entry -> !entry.writeBy().isAfter(now));
    }

    /**
     * Returns whether {@code outcome} may be out of date if another owner has written since. DONE,
     * TOO_OLD and GRANTED stay true even if the record is stale.
     */
    private static boolean mayBeOutdated(Outcome outcome) {
        return outcome != Outcome.DONE && outcome != Outcome.TOO_OLD && outcome != Outcome.GRANTED;
    }

    private void decide(PendingMessage pending) {
        List<Long> candidates = content.candidateSegments(pending.key());
        OptionalLong unread = content.firstUnreadSegment(pending.key(), candidates);
        if (unread.isPresent()) {
            unreadSegments.add(unread.getAsLong());
            waiting.add(pending);
            return;
        }
        ClaimRecord changed = changes.get(pending.key());
        ClaimRecord current = changed == null ? content.find(pending.key(), candidates) : changed;
        Decision decision = rules.decide(pending, current);
        ClaimLogReply logReply = new ClaimLogReply(pending.ticket(), decision.reply());
        if (changed == null && decision.change().isEmpty()) {
            if (pending.arrived().isAfter(confirmedAt)
                    && mayBeOutdated(decision.reply().outcome())) {
                waiting.add(pending);
                refreshNeeded = true;
                return;
            }
            immediateReplies.add(logReply);
            return;
        }
        decision.change().ifPresent(record -> changes.put(pending.key(), record));
        entries.add(pending);
        repliesAfterWrite.add(logReply);
    }
}
