package org.carobdoor.internal.routing;

import java.util.HashMap;
import java.util.Map;
import org.carobdoor.NodeId;

/**
 * The tokens that other nodes have outstanding at one endpoint. Not thread-safe.
 *
 * <p>All values decay at the same rate, so one sum that decays as a whole equals the sum of the
 * decayed values, and a report costs the same for any number of peers.
 */
final class OthersLoad {
    private record Reported(long tokens, long atMillis) {}

    private final long halfLifeMillis;
    private final Map<NodeId, Reported> byPeer = new HashMap<>();
    private double peers;
    private double engine;
    private long atMillis;

    OthersLoad(long halfLifeMillis) {
        this.halfLifeMillis = halfLifeMillis;
    }

    /** Replaces what {@code peer} reported before. */
    void report(NodeId peer, long tokens, long nowMillis) {
        advance(nowMillis);
        Reported old =
                tokens == 0
                        ? byPeer.remove(peer)
                        : byPeer.put(peer, new Reported(tokens, atMillis));
        if (old != null) {
            peers -=
                    Decay.apply(
                            (double) old.tokens,
                            Math.max(0, atMillis - old.atMillis),
                            halfLifeMillis);
        }
        // An exact zero stops rounding errors of many subtractions from adding up.
        peers = byPeer.isEmpty() ? 0 : Math.max(0, peers) + tokens;
    }

    /** Notes the engine's own count, less what this node has outstanding. */
    void reportByEngine(long tokens, long measuredAtMillis, long nowMillis) {
        advance(nowMillis);
        engine =
                Decay.apply(
                        (double) tokens, Math.max(0, atMillis - measuredAtMillis), halfLifeMillis);
    }

    /** Forgets a node that is dead. */
    void forget(NodeId peer, long nowMillis) {
        report(peer, 0, nowMillis);
    }

    /** Returns the sum at {@link #atMillis()}: the larger of the two views of the same load. */
    double tokens() {
        return Math.max(peers, engine);
    }

    long atMillis() {
        return atMillis;
    }

    private void advance(long nowMillis) {
        long age = nowMillis - atMillis;
        if (age > 0) {
            peers = Decay.apply(peers, age, halfLifeMillis);
            engine = Decay.apply(engine, age, halfLifeMillis);
            atMillis = nowMillis;
        }
    }
}
