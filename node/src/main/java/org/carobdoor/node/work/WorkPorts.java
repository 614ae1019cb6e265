package org.carobdoor.node.work;

import java.time.InstantSource;
import java.util.random.RandomGenerator;
import org.carobdoor.MembershipView;
import org.carobdoor.PeerNetwork;

/**
 * What a {@link WorkService} needs from outside.
 *
 * @param random makes request ids, so it must be unpredictable, and safe for use by several
 *     threads, as {@link java.security.SecureRandom} is
 */
public record WorkPorts(
        PeerNetwork network,
        MembershipView members,
        TokenSource tokens,
        TakeoverGate takeovers,
        ClaimGate claims,
        WorkListener listener,
        InstantSource clock,
        RandomGenerator random) {}
