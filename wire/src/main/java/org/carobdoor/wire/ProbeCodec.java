package org.carobdoor.wire;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.NodeId;
import org.carobdoor.internal.Preconditions;
import org.carobdoor.internal.membership.Datagram;
import org.carobdoor.internal.membership.MemberRecord;
import org.carobdoor.internal.membership.MemberStatus;
import org.carobdoor.internal.membership.ProbeBody;
import org.carobdoor.wire.proto.ProbesProto;

/** Maps the datagrams of the membership protocol to protobuf and back. */
public final class ProbeCodec {
    private ProbeCodec() {}

    /** Returns the encoding of {@code d}, without a MAC. */
    public static byte[] encode(Datagram d) {
        ProbesProto.Datagram.Builder b =
                ProbesProto.Datagram.newBuilder()
                        .setFrom(encode(d.from()))
                        .setMemberDigest(d.memberDigest())
                        .setReplicaDigest(d.replicaDigest());
        d.updates().forEach(u -> b.addUpdates(encode(u)));
        switch (d.body()) {
            case ProbeBody.Probe p ->
                    b.getProbeBuilder().setSequence(p.sequence()).setTarget(p.target().value());
            case ProbeBody.ProbeAck p ->
                    b.getProbeAckBuilder()
                            .setSequence(p.sequence())
                            .setSubject(p.subject().value());
            case ProbeBody.IndirectProbe p ->
                    b.getIndirectProbeBuilder()
                            .setSequence(p.sequence())
                            .setTarget(p.target().value())
                            .setAddress(ip(p.address()))
                            .setPort(p.address().getPort());
            case ProbeBody.MemberSync p ->
                    b.getMemberSyncBuilder().addAllDigests(p.digests()).setReply(p.reply());
            case ProbeBody.MemberList p ->
                    b.setMemberList(ProbesProto.MemberList.getDefaultInstance());
        }
        return b.build().toByteArray();
    }

    /**
     * Returns the datagram encoded in {@code bytes}.
     *
     * @throws IllegalArgumentException if it is not valid
     */
    public static Datagram decode(byte[] bytes) {
        try {
            ProbesProto.Datagram p = ProbesProto.Datagram.parseFrom(bytes);
            Preconditions.checkArgument(
                    p.getUpdatesCount() <= Datagram.MAX_UPDATES, "too many updates");
            return new Datagram(
                    decode(p.getFrom()),
                    p.getUpdatesList().stream().map(ProbeCodec::decode).toList(),
                    p.getMemberDigest(),
                    p.getReplicaDigest(),
                    body(p));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("not a datagram of the membership protocol", e);
        }
    }

    private static ProbeBody body(ProbesProto.Datagram p) {
        return switch (p.getBodyCase()) {
            case PROBE ->
                    new ProbeBody.Probe(
                            p.getProbe().getSequence(), new NodeId(p.getProbe().getTarget()));
            case PROBE_ACK ->
                    new ProbeBody.ProbeAck(
                            p.getProbeAck().getSequence(),
                            new NodeId(p.getProbeAck().getSubject()));
            case INDIRECT_PROBE ->
                    new ProbeBody.IndirectProbe(
                            p.getIndirectProbe().getSequence(),
                            new NodeId(p.getIndirectProbe().getTarget()),
                            address(
                                    p.getIndirectProbe().getAddress(),
                                    p.getIndirectProbe().getPort()));
            case MEMBER_SYNC ->
                    new ProbeBody.MemberSync(
                            p.getMemberSync().getDigestsList(), p.getMemberSync().getReply());
            case MEMBER_LIST -> new ProbeBody.MemberList();
            case BODY_NOT_SET -> throw new IllegalArgumentException("datagram without a body");
        };
    }

    private static ProbesProto.MemberUpdate encode(MemberRecord r) {
        return ProbesProto.MemberUpdate.newBuilder()
                .setId(r.id().value())
                .setZone(r.zone().value())
                .setAddress(ip(r.address()))
                .setPort(r.address().getPort())
                .setIncarnation(r.incarnation())
                .setState(
                        switch (r.status()) {
                            case ALIVE -> ProbesProto.MemberUpdate.State.ALIVE;
                            case SUSPECT -> ProbesProto.MemberUpdate.State.SUSPECT;
                            case DEAD -> ProbesProto.MemberUpdate.State.DEAD;
                        })
                .setLeaving(r.leaving())
                .setPlatformUnreachable(!r.platformReachable())
                .build();
    }

    private static MemberRecord decode(ProbesProto.MemberUpdate u) {
        MemberStatus status =
                switch (u.getState()) {
                    case ALIVE -> MemberStatus.ALIVE;
                    case SUSPECT -> MemberStatus.SUSPECT;
                    case DEAD -> MemberStatus.DEAD;
                    case UNSPECIFIED, UNRECOGNIZED ->
                            throw new IllegalArgumentException("member update without state");
                };
        return new MemberRecord(
                new NodeId(u.getId()),
                new AvailabilityZone(u.getZone()),
                address(u.getAddress(), u.getPort()),
                u.getIncarnation(),
                status,
                u.getLeaving(),
                !u.getPlatformUnreachable());
    }

    private static ByteString ip(InetSocketAddress a) {
        Preconditions.checkArgument(!a.isUnresolved(), "an IP address is needed, not a host name");
        return ByteString.copyFrom(a.getAddress().getAddress());
    }

    private static InetSocketAddress address(ByteString ip, int port) {
        try {
            return new InetSocketAddress(InetAddress.getByAddress(ip.toByteArray()), port);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("an IP address has 4 or 16 bytes", e);
        }
    }
}
