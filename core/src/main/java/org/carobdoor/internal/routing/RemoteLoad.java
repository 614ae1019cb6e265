package org.carobdoor.internal.routing;

import java.util.HashMap;
import java.util.Map;
import org.carobdoor.NodeId;

/**
 * The outstanding tokens of other nodes at one endpoint. Not thread-safe.
 *
 * <p>All reports decay at the same rate, so decaying their sum equals summing the decayed reports,
 * and an update takes constant time for any number of peers.
 */
final class RemoteLoad {
    private record PeerReport(long tokens, long atMillis) {}

    private final long halfLifeMillis;
    private final Map<NodeId, PeerReport> reportsByPeer = new HashMap<>();
    private double peerTokens;
    private double engineTokens;
    private long atMillis;

    RemoteLoad(long halfLifeMillis) {
        this.halfLifeMillis = halfLifeMillis;
    }

    /** Replaces the previous report of {@code peer}. */
    void updateFromPeer(NodeId peer, long tokens, long nowMillis) {
        decayTo(nowMillis);
        PeerReport previous =
                tokens == 0
                        ? reportsByPeer.remove(peer)
                        : reportsByPeer.put(peer, new PeerReport(tokens, atMillis));
        if (previous != null) {
            peerTokens -=
                    ExponentialDecay.apply(
                            (double) previous.tokens,
                            Math.max(0, atMillis - previous.atMillis),
                            halfLifeMillis);
        }
        // Resetting to an exact zero keeps the rounding errors of many subtractions from
        // accumulating.
        peerTokens = reportsByPeer.isEmpty() ? 0 : Math.max(0, peerTokens) + tokens;
    }

    /**
     * Records the count reported by the engine, from which the caller has subtracted the
     * outstanding tokens of this node.
     */
    void updateFromEngine(long tokens, long measuredAtMillis, long nowMillis) {
        decayTo(nowMillis);
        engineTokens =
                ExponentialDecay.apply(
                        (double) tokens, Math.max(0, atMillis - measuredAtMillis), halfLifeMillis);
    }

    /** Removes the report of a dead node. */
    void removePeer(NodeId peer, long nowMillis) {
        updateFromPeer(peer, 0, nowMillis);
    }

    /**
     * Returns the remote load at {@link #atMillis()}. Peers and the engine report the same load, so
     * the larger of the two values is used.
     */
    double tokens() {
        return Math.max(peerTokens, engineTokens);
    }

    long atMillis() {
        return atMillis;
    }

    private void decayTo(long nowMillis) {
        long age = nowMillis - atMillis;
        if (age > 0) {
            peerTokens = ExponentialDecay.apply(peerTokens, age, halfLifeMillis);
            engineTokens = ExponentialDecay.apply(engineTokens, age, halfLifeMillis);
            atMillis = nowMillis;
        }
    }
}
