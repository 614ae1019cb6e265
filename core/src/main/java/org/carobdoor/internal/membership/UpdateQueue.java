package org.carobdoor.internal.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carobdoor.NodeId;

/**
 * The updates to piggyback. Those sent least often go first; each is sent a limited number of
 * times.
 */
final class UpdateQueue {
    private static final int SENDS_PER_DOUBLING = 3;

    private static final class Pending {
        final MemberRecord record;
        int sent;

        Pending(MemberRecord record) {
            this.record = record;
        }
    }

    private final Map<NodeId, Pending> pending = new HashMap<>();

    /** Queues {@code record} in place of an earlier one of the same node. */
    void add(MemberRecord record) {
        pending.put(record.id(), new Pending(record));
    }

    /** Takes at most {@code max} updates for one message in a group of {@code size} nodes. */
    List<MemberRecord> take(int max, int size) {
        if (pending.isEmpty()) {
            return List.of();
        }
        List<Pending> order = new ArrayList<>(pending.values());
        order.sort(
                Comparator.<Pending>comparingInt(p -> p.sent)
                        .thenComparing(p -> p.record.id().value()));
        List<MemberRecord> taken = new ArrayList<>();
        int limit = sendLimit(size);
        for (Pending p : order.subList(0, Math.min(max, order.size()))) {
            taken.add(p.record);
            if (++p.sent >= limit) {
                pending.remove(p.record.id());
            }
        }
        return taken;
    }

    /**
     * Counts all updates except suspicions as sent once more, because a peer has the same live
     * members. Without this, updates kept circulating for minutes after many nodes had started at
     * once.
     */
    void countAsSent(int size) {
        int limit = sendLimit(size);
        pending.values()
                .removeIf(p -> p.record.status() != MemberStatus.SUSPECT && ++p.sent >= limit);
    }

    static int sendLimit(int size) {
        return SENDS_PER_DOUBLING
                * (Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, size)));
    }
}
