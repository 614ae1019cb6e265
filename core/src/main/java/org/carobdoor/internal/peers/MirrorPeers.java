package org.carobdoor.internal.peers;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Chooses the nodes that a node without the store asks for changes of the configuration and the
 * endpoints.
 *
 * <p>In a small cluster the statuses of the others tell at once that one of them knows more.
 * Relayed statuses are up to two seconds old, and engines that are reclaimed leave that soon after
 * their notice, so a node of a large cluster asks without waiting for them. The load is that of a
 * part of the nodes losing the store while engines leave. Not thread-safe.
 */
public final class MirrorPeers {
    /** Interval between two requests; a reply is sent only if there is something newer. */
    public static final long ASK_INTERVAL_MILLIS = 200;

    /** Nodes asked at a time, since the first may be without the store too. */
    private static final int PEERS = 2;

    /** Requests after which other nodes are asked. */
    private static final int REQUESTS_PER_CHOICE = 5;

    private final RandomGenerator random;
    private List<String> chosen = List.of();
    private int requests;

    private MirrorPeers(RandomGenerator random) {
        this.random = random;
    }

    /** Returns an instance that has chosen no node. */
    public static MirrorPeers create(RandomGenerator random) {
        return new MirrorPeers(random);
    }

    /**
     * Returns the runs to ask now.
     *
     * @param stale whether this node does not hear from the store
     * @param known the runs of the other nodes
     */
    public List<String> next(boolean stale, Collection<String> known) {
        if (!stale || !StatusInterval.isRelayed(known.size() + 1)) {
            chosen = List.of();
            return chosen;
        }
        if (chosen.isEmpty() || ++requests >= REQUESTS_PER_CHOICE) {
            requests = 0;
            List<String> all = new ArrayList<>(known);
            List<String> next = new ArrayList<>();
            while (next.size() < PEERS) {
                next.add(all.remove(random.nextInt(all.size())));
            }
            chosen = List.copyOf(next);
        }
        return chosen;
    }
}
