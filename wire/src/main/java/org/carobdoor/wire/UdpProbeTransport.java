package org.carobdoor.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.Consumer;
import org.carobdoor.internal.membership.Datagram;
import org.carobdoor.internal.membership.ProbeTransport;

/**
 * Sends and receives the datagrams of the membership protocol, each with a MAC under a cluster key.
 *
 * <p>A datagram is the id of the key (4 bytes), the MAC (16 bytes) and the encoding. A replayed
 * datagram passes the check; the protocol tolerates it, since it compares incarnations and sequence
 * numbers.
 *
 * <pre>{@code
 * try (var udp = UdpProbeTransport.open(group, bind, keys)) {
 *     udp.listen(membership::receive);
 *     udp.send(peer, datagram);
 * }
 * }</pre>
 */
public final class UdpProbeTransport implements ProbeTransport, AutoCloseable {
    private static final int HEADER_BYTES = Integer.BYTES + ClusterKey.MAC_BYTES;

    private final TransportCounters counters = new TransportCounters();
    private final ClusterKeys keys;
    private final Channel channel;
    private volatile Consumer<Datagram> listener = d -> {};

    private UdpProbeTransport(EventLoopGroup group, InetSocketAddress bind, ClusterKeys keys) {
        this.keys = keys;
        Bootstrap b = new Bootstrap().group(group).channel(NioDatagramChannel.class);
        channel = b.handler(new Receiver()).bind(bind).syncUninterruptibly().channel();
    }

    /**
     * Opens a socket on {@code bind}, which should have the port of the TCP transport.
     *
     * @param group event loops, which the caller closes after this transport
     * @throws RuntimeException if the address cannot be bound
     */
    public static UdpProbeTransport open(
            EventLoopGroup group, InetSocketAddress bind, ClusterKeys keys) {
        return new UdpProbeTransport(group, bind, keys);
    }

    /** Sets who receives authentic datagrams, on an event loop. */
    @Override
    public void listen(Consumer<Datagram> newListener) {
        listener = newListener;
    }

    @Override
    public void send(InetSocketAddress to, Datagram d) {
        byte[] body = ProbeCodec.encode(d);
        ClusterKey key = keys.first();
        ByteBuf packet = Unpooled.buffer(HEADER_BYTES + body.length);
        packet.writeInt(key.id());
        packet.writeBytes(key.sign(body), 0, ClusterKey.MAC_BYTES).writeBytes(body);
        counters.messagesSent.increment();
        counters.bytesSent.add(packet.readableBytes());
        channel.writeAndFlush(new DatagramPacket(packet, to));
    }

    /** Returns the counters since the start. */
    public TransportCounters counters() {
        return counters;
    }

    @Override
    public void close() {
        channel.close().syncUninterruptibly();
    }

    private Optional<byte[]> authentic(byte[] packet) {
        if (packet.length < HEADER_BYTES) {
            return Optional.empty();
        }
        int id = Unpooled.wrappedBuffer(packet).readInt();
        byte[] mac = Arrays.copyOfRange(packet, Integer.BYTES, HEADER_BYTES);
        byte[] body = Arrays.copyOfRange(packet, HEADER_BYTES, packet.length);
        return keys.find(id)
                .filter(k -> Handshake.isEqual(mac, Arrays.copyOf(k.sign(body), mac.length)))
                .map(k -> body);
    }

    /** Checks datagrams and hands the authentic ones on. */
    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            byte[] bytes = ByteBufUtil.getBytes(packet.content());
            counters.bytesReceived.add(bytes.length);
            counters.messagesReceived.increment();
            Optional<byte[]> body = authentic(bytes);
            if (body.isEmpty()) {
                counters.authenticationFailures.increment();
                return;
            }
            listener.accept(ProbeCodec.decode(body.get()));
        }

        /** A datagram that cannot be decoded or sent is as good as lost. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            counters.droppedSends.increment();
        }
    }
}
