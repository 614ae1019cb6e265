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
 * Sends and receives the datagrams of the membership protocol, authenticated with a cluster key.
 *
 * <p>A packet consists of the key id (4 bytes), the MAC (16 bytes) and the encoded datagram.
 * Replayed datagrams are not detected here; the protocol tolerates them, because it compares
 * incarnations and sequence numbers.
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
        channel = b.handler(new DatagramHandler()).bind(bind).syncUninterruptibly().channel();
    }

    /**
     * Opens a socket on {@code bind}, which should have the same port as the TCP transport.
     *
     * @param group the event loops; the caller must close them after this transport
     * @throws RuntimeException if the address cannot be bound
     */
    public static UdpProbeTransport open(
            EventLoopGroup group, InetSocketAddress bind, ClusterKeys keys) {
        return new UdpProbeTransport(group, bind, keys);
    }

    /** Sets the listener for authenticated datagrams; it is called on an event loop thread. */
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
        packet.writeBytes(key.computeMac(body), 0, ClusterKey.MAC_BYTES).writeBytes(body);
        counters.messagesSent.increment();
        counters.bytesSent.add(packet.readableBytes());
        channel.writeAndFlush(new DatagramPacket(packet, to));
    }

    /** Returns the counters of this transport. */
    public TransportCounters counters() {
        return counters;
    }

    @Override
    public void close() {
        channel.close().syncUninterruptibly();
    }

    private Optional<byte[]> verifiedBody(byte[] packet) {
        if (packet.length < HEADER_BYTES) {
            return Optional.empty();
        }
        int id = Unpooled.wrappedBuffer(packet).readInt();
        byte[] mac = Arrays.copyOfRange(packet, Integer.BYTES, HEADER_BYTES);
        byte[] body = Arrays.copyOfRange(packet, HEADER_BYTES, packet.length);
        return keys.find(id)
                .filter(
                        k ->
                                Handshake.constantTimeEquals(
                                        mac, Arrays.copyOf(k.computeMac(body), mac.length)))
                .map(k -> body);
    }

    /** Verifies the MAC of datagrams and passes valid ones to the listener. */
    private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            byte[] bytes = ByteBufUtil.getBytes(packet.content());
            counters.bytesReceived.add(bytes.length);
            counters.messagesReceived.increment();
            Optional<byte[]> body = verifiedBody(bytes);
            if (body.isEmpty()) {
                counters.authenticationFailures.increment();
                return;
            }
            listener.accept(ProbeCodec.decode(body.get()));
        }

        /**
         * Counts a datagram that cannot be decoded or sent; the protocol handles it as a lost one.
         */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            counters.droppedSends.increment();
        }
    }
}
