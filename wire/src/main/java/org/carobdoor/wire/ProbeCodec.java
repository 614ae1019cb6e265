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

/** Converts the datagrams of the membership protocol to protobuf and back. */
public final class ProbeCodec {
    private ProbeCodec() {}

    /** Encodes {@code d}, without a MAC. */
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
                            .setAddress(encodeIp(p.address()))
                            .setPort(p.address().getPort());
            case ProbeBody.MemberSync p ->
                    b.getMemberSyncBuilder().addAllDigests(p.digests()).setReply(p.reply());
            case ProbeBody.MemberList p ->
                    b.setMemberList(ProbesProto.MemberList.getDefaultInstance());
        }
        return b.build().toByteArray();
    }

    /**
     * Decodes a datagram.
     *
     * @throws IllegalArgumentException if {@code bytes} is not a valid datagram
     */
    public static Datagram decode(byte[] bytes) {
        try {
            ProbesProto.Datagram p = ProbesProto.Datagram.parseFrom(bytes);
            Preconditions.checkArgument(
                    p.getUpdatesCount() <= Datagram.MAX_UPDATES,
                    "datagram has too many member updates");
            return new Datagram(
                    decode(p.getFrom()),
                    p.getUpdatesList().stream().map(ProbeCodec::decode).toList(),
                    p.getMemberDigest(),
                    p.getReplicaDigest(),
                    decodeBody(p));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("not a datagram of the membership protocol", e);
        }
    }

    private static ProbeBody decodeBody(ProbesProto.Datagram p) {
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
                            decodeAddress(
                                    p.getIndirectProbe().getAddress(),
                                    p.getIndirectProbe().getPort()));
            case MEMBER_SYNC ->
                    new ProbeBody.MemberSync(
                            p.getMemberSync().getDigestsList(), p.getMemberSync().getReply());
            case MEMBER_LIST -> new ProbeBody.MemberList();
            case BODY_NOT_SET -> throw new IllegalArgumentException("datagram has no body");
        };
    }

    private static ProbesProto.MemberUpdate encode(MemberRecord r) {
        return ProbesProto.MemberUpdate.newBuilder()
                .setId(r.id().value())
                .setZone(r.zone().value())
                .setAddress(encodeIp(r.address()))
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
                            throw new IllegalArgumentException("member update has no state");
                };
        return new MemberRecord(
                new NodeId(u.getId()),
                new AvailabilityZone(u.getZone()),
                decodeAddress(u.getAddress(), u.getPort()),
                u.getIncarnation(),
                status,
                u.getLeaving(),
                !u.getPlatformUnreachable());
    }

    private static ByteString encodeIp(InetSocketAddress a) {
        Preconditions.checkArgument(
                !a.isUnresolved(), "address must be an IP address, not a host name");
        return ByteString.copyFrom(a.getAddress().getAddress());
    }

    private static InetSocketAddress decodeAddress(ByteString ip, int port) {
        try {
            return new InetSocketAddress(InetAddress.getByAddress(ip.toByteArray()), port);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("IP address must have 4 or 16 bytes", e);
        }
    }
}
