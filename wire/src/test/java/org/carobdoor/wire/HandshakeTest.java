package org.carobdoor.wire;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import com.google.protobuf.MessageLite;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import org.carobdoor.Bytes;
import org.carobdoor.Failure;
import org.carobdoor.FailureKind;
import org.carobdoor.NodeId;
import org.carobdoor.Result;
import org.carobdoor.message.PeerMessage;
import org.carobdoor.message.WorkRead;
import org.carobdoor.wire.proto.EnvelopeProto.ClientHello;
import org.carobdoor.wire.proto.EnvelopeProto.ClientProof;
import org.carobdoor.wire.proto.EnvelopeProto.ServerHello;
import org.junit.jupiter.api.Test;

/** Guards against accepting a peer that sends a valid key id but does not have the key. */
final class HandshakeTest {
    private static final Bytes KEY = Bytes.utf8("a cluster key of some length");
    private static final InetSocketAddress LOOPBACK_ANY_PORT =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final int KEY_ID = ClusterKey.of(KEY.toByteArray()).id();

    @Test
    void clientWithoutTheKeyIsDisconnected() throws Exception {
        try (TcpPeerNetwork server = network("server");
                Socket s = new Socket(server.address().getAddress(), server.address().getPort())) {
            s.setSoTimeout(5000);
            write(
                    s,
                    ClientHello.newBuilder()
                            .setVersion(Handshake.VERSION)
                            .setClient("rogue")
                            .setServer("server")
                            .setNonce(ByteString.copyFrom(new byte[16]))
                            .addKeyIds(KEY_ID)
                            .build());
            ServerHello reply = ServerHello.parseFrom(read(s));
            assertThat(reply.getRefusal()).isEmpty();
            write(s, ClientProof.newBuilder().setProof(reply.getProof()).build());
            assertThat(s.getInputStream().read()).isEqualTo(-1);
            assertThat(server.counters().authenticationFailures()).isEqualTo(1);
        }
    }

    @Test
    void serverWithoutTheKeyIsSentNothing() throws Exception {
        try (TcpPeerNetwork client = network("client");
                ServerSocket server = new ServerSocket()) {
            server.bind(LOOPBACK_ANY_PORT);
            Thread.startVirtualThread(() -> answerWithoutKey(server));
            client.setAddressResolver(
                    id -> Optional.of((InetSocketAddress) server.getLocalSocketAddress()));
            Result<PeerMessage> r =
                    client.call(
                            new NodeId("server"),
                            new WorkRead("r", 0),
                            Instant.now().plusSeconds(5));
            Failure f = ((Result.Err<PeerMessage>) r).failure();
            assertThat(f.kind()).isEqualTo(FailureKind.NOT_DONE);
            assertThat(f.step()).isEqualTo("peer.handshake");
            assertThat(client.counters().authenticationFailures()).isEqualTo(1);
            assertThat(client.counters().messagesSent()).isEqualTo(0);
        }
    }

    private static void answerWithoutKey(ServerSocket server) {
        try (Socket s = server.accept()) {
            ClientHello unused = ClientHello.parseFrom(read(s));
            assertThat(unused.getServer()).isEqualTo("server");
            write(
                    s,
                    ServerHello.newBuilder()
                            .setServer("server")
                            .setNonce(ByteString.copyFrom(new byte[16]))
                            .setKeyId(KEY_ID)
                            .setProof(ByteString.copyFrom(new byte[32]))
                            .build());
            assertThat(s.getInputStream().read()).isEqualTo(-1);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static TcpPeerNetwork network(String id) {
        return TcpPeerNetwork.open(
                new NodeId(id),
                LOOPBACK_ANY_PORT,
                ClusterKeys.of(List.of(KEY)),
                TransportSettings.defaults(),
                InstantSource.system());
    }

    private static void write(Socket s, MessageLite m) throws IOException {
        DataOutputStream out = new DataOutputStream(s.getOutputStream());
        out.writeInt(m.getSerializedSize());
        out.write(m.toByteArray());
        out.flush();
    }

    private static byte[] read(Socket s) throws IOException {
        DataInputStream in = new DataInputStream(s.getInputStream());
        return in.readNBytes(in.readInt());
    }
}
