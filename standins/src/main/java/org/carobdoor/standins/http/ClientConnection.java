package org.carobdoor.standins.http;

import io.jooby.Context;
import io.jooby.internal.netty.NettyContext;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import java.lang.reflect.Field;

/**
 * The TCP connection that a request arrived on.
 *
 * <p>Jooby's public API does not tell a handler that the client disconnected before the first byte
 * of the response, and offers no way to close the connection without a response. Fault injection
 * needs both, so this class reads the Netty channel from a private field of Jooby's context.
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
            var channelContext = (ChannelHandlerContext) CHANNEL_CONTEXT.get(context);
            return new ClientConnection(channelContext.channel());
        } catch (IllegalAccessException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns whether the connection is still open. */
    public boolean isOpen() {
        return channel.isActive();
    }

    /** Closes the connection. A response that has not been sent yet is lost. */
    public void drop() {
        channel.close().awaitUninterruptibly();
    }

    /** Returns the listening channel that accepted the connection. */
    Channel serverChannel() {
        return channel.parent();
    }

    private static Field channelContextField() {
        try {
            Field field = NettyContext.class.getDeclaredField("ctx");
            field.setAccessible(true);
            return field;
        } catch (NoSuchFieldException e) {
            throw new IllegalStateException(
                    "unsupported Jooby version: NettyContext has no field ctx", e);
        }
    }
}
