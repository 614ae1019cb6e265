package org.carobdoor.node.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/**
 * Assembles the body of a message from its parts.
 *
 * <p>The parts are copied into one buffer that doubles its size. A list of the parts would keep the
 * receive buffers of small parts alive, and consolidating it again and again takes time in
 * proportion to the square of the body.
 */
public final class BodyBuffer implements AutoCloseable {
    private static final int MIN_CAPACITY = 256;
    private static final int MAX_INITIAL_CAPACITY = 64 << 10;

    private final ByteBuf buffer;

    private BodyBuffer(ByteBuf buffer) {
        this.buffer = buffer;
    }

    /**
     * Returns an empty buffer.
     *
     * @param expectedBytes the announced size of the body; not trusted with more than a little
     *     memory
     */
    public static BodyBuffer create(ByteBufAllocator allocator, long expectedBytes) {
        int capacity = (int) Math.clamp(expectedBytes, MIN_CAPACITY, MAX_INITIAL_CAPACITY);
        return new BodyBuffer(allocator.buffer(capacity));
    }

    /** Returns the number of bytes added so far. */
    public int size() {
        return buffer.readableBytes();
    }

    /** Adds and releases a part. */
    public void add(ByteBuf part) {
        try {
            buffer.writeBytes(part);
        } finally {
            part.release();
        }
    }

    /** Returns the body, which the caller releases; this object must not be used any more. */
    public ByteBuf take() {
        return buffer;
    }

    /** Releases the bytes; must not be called after {@link #take}. */
    @Override
    public void close() {
        buffer.release();
    }
}
