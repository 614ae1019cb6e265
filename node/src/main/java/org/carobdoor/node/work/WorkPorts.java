package org.carobdoor.node.work;

import java.time.InstantSource;
import java.util.random.RandomGenerator;
import org.carobdoor.MembershipView;
import org.carobdoor.PeerNetwork;

/**
 * The external dependencies of a {@link WorkService}.
 *
 * @param random generates request ids; must be unpredictable and thread-safe, such as {@link
 *     java.security.SecureRandom}
 */
public record WorkPorts(
        PeerNetwork network,
        MembershipView members,
        TokenSource tokens,
        TakeoverStore takeovers,
        ClaimAcquirer claims,
        WorkListener listener,
        InstantSource clock,
        RandomGenerator random) {}
