package org.carobdoor.internal.claims;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.carobdoor.message.ClaimMessage;
import org.carobdoor.message.ClaimReply.Outcome;

/** The messages of a claim log that wait for a decision, and the replies that are ready. */
final class MessageQueue {
    private static final Duration MIN_WAIT = Duration.ofSeconds(1);

    private static final Duration MAX_WAIT = Duration.ofSeconds(30);

    private final List<PendingMessage> waiting = new ArrayList<>();
    private final List<ClaimLogReply> readyReplies = new ArrayList<>();
    private long nextTicket;

    long add(
            ClaimMessage message,
            Id128 key,
            String from,
            Instant arrived,
            Instant writeBy,
            Instant deadline) {
        long ticket = nextTicket++;
        waiting.add(
                new PendingMessage(
                        ticket,
                        message,
                        key,
                        from,
                        arrived,
                        writeBy,
                        boundDeadline(deadline, arrived)));
        return ticket;
    }

    /**
     * Limits the time that a message waits. The deadline refers to the claimant's clock, which may
     * differ from the local one, and a claimant releases a claim that is recorded too late, so the
     * deadline only bounds the queue.
     */
    private static Instant boundDeadline(Instant deadline, Instant now) {
        Instant earliest = now.plus(MIN_WAIT);
        Instant latest = now.plus(MAX_WAIT);
        Instant atLeast = deadline.isBefore(earliest) ? earliest : deadline;
        return atLeast.isAfter(latest) ? latest : atLeast;
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    List<PendingMessage> waiting() {
        return waiting;
    }

    /** Replaces the waiting messages; they are decided in the order of their arrival. */
    void replaceWaiting(Collection<PendingMessage> some, Collection<PendingMessage> others) {
        List<PendingMessage> all = new ArrayList<>(some);
        all.addAll(others);
        all.sort(Comparator.comparingLong(PendingMessage::ticket));
        waiting.clear();
        waiting.addAll(all);
    }

    void addReplies(Collection<ClaimLogReply> replies) {
        readyReplies.addAll(replies);
    }

    /** Replies with UNAVAILABLE, so that the claimants send nothing. */
    void reject(Collection<PendingMessage> messages) {
        for (PendingMessage pending : messages) {
            readyReplies.add(
                    new ClaimLogReply(pending.ticket(), ClaimRules.reply(Outcome.UNAVAILABLE)));
        }
    }

    /** Rejects all waiting messages. */
    void rejectAll() {
        reject(waiting);
        waiting.clear();
    }

    /** Rejects the waiting messages whose deadline has passed. */
    void expire(Instant now) {
        List<PendingMessage> expired =
                waiting.stream().filter(p -> !p.deadline().isAfter(now)).toList();
        reject(expired);
        waiting.removeAll(expired);
    }

    /** Returns the earliest time at which a waiting message should be written. */
    Instant earliestWriteBy() {
        return waiting.stream()
                .map(PendingMessage::writeBy)
                .min(Instant::compareTo)
                .orElse(Instant.MAX);
    }

    List<ClaimLogReply> drainReplies() {
        List<ClaimLogReply> taken = List.copyOf(readyReplies);
        readyReplies.clear();
        return taken;
    }
}
