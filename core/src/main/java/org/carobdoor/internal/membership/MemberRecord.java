package org.carobdoor.internal.membership;

import java.net.InetSocketAddress;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.Member;
import org.carobdoor.MemberState;
import org.carobdoor.NodeId;
import org.carobdoor.internal.Rendezvous;

/**
 * The state of one node as known to another; the unit of dissemination.
 *
 * @param id the node
 * @param zone its availability zone
 * @param address the IP address and the port of both its TCP and its UDP transport
 * @param incarnation incremented only by the node itself, to refute a suspicion or to change a flag
 * @param status the verdict of the failure detector
 * @param leaving whether the node has announced that it is leaving; never reset
 * @param platformReachable whether the node reported that it reaches the key-value service
 */
public record MemberRecord(
        NodeId id,
        AvailabilityZone zone,
        InetSocketAddress address,
        long incarnation,
        MemberStatus status,
        boolean leaving,
        boolean platformReachable) {

    /** Returns the record of a node that has just started. */
    public static MemberRecord started(NodeId id, AvailabilityZone zone, InetSocketAddress addr) {
        return new MemberRecord(id, zone, addr, 1, MemberStatus.ALIVE, false, true);
    }

    /** Returns whether this record replaces {@code other}, an earlier record of the same node. */
    public boolean supersedes(MemberRecord other) {
        return incarnation != other.incarnation
                ? incarnation > other.incarnation
                : status.compareTo(other.status) > 0;
    }

    /** Returns this record with another status. */
    public MemberRecord withStatus(MemberStatus s) {
        return new MemberRecord(id, zone, address, incarnation, s, leaving, platformReachable);
    }

    MemberRecord withIncarnation(long newIncarnation, boolean nowLeaving, boolean nowReachable) {
        return new MemberRecord(
                id, zone, address, newIncarnation, MemberStatus.ALIVE, nowLeaving, nowReachable);
    }

    /** Returns the representation of the record in the public API. */
    public Member toMember() {
        MemberState state =
                switch (status) {
                    case DEAD -> MemberState.DEAD;
                    case SUSPECT -> leaving ? MemberState.LEAVING : MemberState.SUSPECT;
                    case ALIVE -> leaving ? MemberState.LEAVING : MemberState.ALIVE;
                };
        return new Member(id, zone, address, state, platformReachable);
    }

    /** Suspicion is excluded because it is short-lived and differs between nodes. */
    long digest() {
        return Rendezvous.weight(id.value(), Long.toString(incarnation));
    }
}
