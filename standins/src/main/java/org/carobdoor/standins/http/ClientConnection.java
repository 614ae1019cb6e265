package org.carobdoor.standins.http;

import io.jooby.Context;
import io.jooby.internal.netty.NettyContext;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import java.lang.reflect.Field;

/**
 * The TCP connection that a request arrived on.
 *
 * <p>Jooby's public interface neither tells a handler that the client has gone before the first
 * byte of the answer, nor lets it drop the connection without an answer. Both are needed to imitate
 * faults, so the Netty channel is read from Jooby's context.
 */
public final class ClientConnection {
    private static final Field CHANNEL_CONTEXT = channelContextField();

    private final Channel channel;

    private ClientConnection(Channel channel) {
        this.channel = channel;
    }

    /** Returns the connection of the request that {@code context} belongs to. */
    public static ClientConnection of(Context context) {
        try {
            var netty = (ChannelHandlerContext) CHANNEL_CONTEXT.get(context);
            return new ClientConnection(netty.channel());
        } catch (IllegalAccessException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns whether the client still has the connection open. */
    public boolean isOpen() {
        return channel.isActive();
    }

    /** Closes the connection. An answer that was not sent yet is lost. */
    public void drop() {
        channel.close().awaitUninterruptibly();
    }

    /** Returns the channel that accepted the connection. */
    Channel listener() {
        return channel.parent();
    }

    private static Field channelContextField() {
        try {
            Field field = NettyContext.class.getDeclaredField("ctx");
            field.setAccessible(true);
            return field;
        } catch (NoSuchFieldException e) {
            throw new IllegalStateException("this version of Jooby is not supported", e);
        }
    }
}
