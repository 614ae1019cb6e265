package org.carobdoor.internal.claims;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.carobdoor.message.ClaimMessage;
import org.carobdoor.message.ClaimReply.Outcome;

/** The messages of a claim log that wait for a decision, and the replies that are due. */
final class MessageQueue {
    private static final Duration LEAST_PATIENCE = Duration.ofSeconds(1);

    private static final Duration MOST_PATIENCE = Duration.ofSeconds(30);

    private final List<Pending> waiting = new ArrayList<>();
    private final List<ClaimLogReply> settled = new ArrayList<>();
    private long tickets;

    long add(
            ClaimMessage message,
            Id128 key,
            String from,
            Instant arrived,
            Instant writeBy,
            Instant deadline) {
        long ticket = tickets++;
        waiting.add(
                new Pending(
                        ticket, message, key, from, arrived, writeBy, patience(deadline, arrived)));
        return ticket;
    }

    /**
     * The deadline is a time on the claimant's clock, which may differ from this one, and a claim
     * that is recorded too late is released by its claimant. It only bounds the queue.
     */
    private static Instant patience(Instant deadline, Instant now) {
        Instant least = now.plus(LEAST_PATIENCE);
        Instant most = now.plus(MOST_PATIENCE);
        Instant atLeast = deadline.isBefore(least) ? least : deadline;
        return atLeast.isAfter(most) ? most : atLeast;
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    List<Pending> waiting() {
        return waiting;
    }

    /** Replaces the waiting messages, which are decided in the order of their arrival. */
    void keep(Collection<Pending> some, Collection<Pending> others) {
        List<Pending> all = new ArrayList<>(some);
        all.addAll(others);
        all.sort(Comparator.comparingLong(Pending::ticket));
        waiting.clear();
        waiting.addAll(all);
    }

    void settle(Collection<ClaimLogReply> replies) {
        settled.addAll(replies);
    }

    /** Answers that nothing may be sent. */
    void refuse(Collection<Pending> messages) {
        for (Pending pending : messages) {
            settled.add(new ClaimLogReply(pending.ticket(), ClaimRules.reply(Outcome.UNAVAILABLE)));
        }
    }

    /** Refuses everything that waits. */
    void refuseAll() {
        refuse(waiting);
        waiting.clear();
    }

    /** Refuses what nobody waits for any longer. */
    void expire(Instant now) {
        List<Pending> late = waiting.stream().filter(p -> !p.deadline().isAfter(now)).toList();
        refuse(late);
        waiting.removeAll(late);
    }

    /** Returns when the first of the waiting messages should be written. */
    Instant earliestWrite() {
        return waiting.stream().map(Pending::writeBy).min(Instant::compareTo).orElse(Instant.MAX);
    }

    List<ClaimLogReply> takeSettled() {
        List<ClaimLogReply> taken = List.copyOf(settled);
        settled.clear();
        return taken;
    }
}
