package org.carobdoor.node.gateway.net;

/**
 * Limits the memory for response bytes that endpoints or the platform have sent and that have not
 * been forwarded or processed yet.
 *
 * <p>A single response may hold a fraction of the free space, so that some space always remains for
 * others, however many responses grow without end. The rule is the dynamic threshold of Choudhury
 * and Hahne, "Dynamic Queue Length Thresholds for Shared-Memory Packet Switches" (1998).
 *
 * <p>The limit is designed for faulty endpoints that send unbounded responses to all requests of a
 * node. Confined to the event loop.
 */
public final class ResponseBufferLimit {
    /** A single response may hold one fifth of the space. */
    private static final double MAX_FRACTION_OF_FREE = 0.25;

    private final long capacityBytes;
    private long heldBytes;

    private ResponseBufferLimit(long capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    /** Returns a limit of {@code capacityBytes} for all responses that share it. */
    public static ResponseBufferLimit create(long capacityBytes) {
        return new ResponseBufferLimit(capacityBytes);
    }

    /** Returns the bytes held by all responses. */
    public long heldBytes() {
        return heldBytes;
    }

    /**
     * Adds received bytes of a response. The owner must release them in any case.
     *
     * @param responseBytes the bytes held by the response, including {@code added}
     * @return whether the response may continue
     */
    public boolean add(long added, long responseBytes) {
        heldBytes += added;
        return responseBytes <= MAX_FRACTION_OF_FREE * (capacityBytes - heldBytes);
    }

    /** Releases bytes that have been forwarded or discarded. */
    public void release(long released) {
        heldBytes -= released;
    }
}
