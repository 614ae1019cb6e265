package org.carobdoor.node.gateway.endpoint;

/**
 * Limits the memory for response bytes that endpoints have sent and that have not been forwarded to
 * callers yet.
 *
 * <p>A single response may hold a fraction of the free space, so that some space always remains for
 * others, however many responses grow without end. The rule is the dynamic threshold of Choudhury
 * and Hahne, "Dynamic Queue Length Thresholds for Shared-Memory Packet Switches" (1998).
 *
 * <p>The limit is designed for faulty endpoints that send unbounded responses to all requests of a
 * node. Confined to the event loop.
 */
final class ResponseBufferLimit {
    /**
     * One fifth of the heap of the deployed daemon; direct buffers may use as much memory as the
     * heap.
     */
    private static final long MAX_BYTES = 32L << 20;

    /**
     * A single response may hold one fifth of the space, 6.4 MB, which is more than a request may
     * hold.
     */
    private static final double MAX_FRACTION_OF_FREE = 0.25;

    private final long capacityBytes;
    private long heldBytes;

    private ResponseBufferLimit(long capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    /** Creates the limit of a node. */
    static ResponseBufferLimit create() {
        return new ResponseBufferLimit(MAX_BYTES);
    }

    /** Returns the bytes held by all responses. */
    long heldBytes() {
        return heldBytes;
    }

    /**
     * Adds received bytes of a response. The owner must release them in any case.
     *
     * @param responseBytes the bytes held by the response, including {@code added}
     * @return whether the response may continue
     */
    boolean add(long added, long responseBytes) {
        heldBytes += added;
        return responseBytes <= MAX_FRACTION_OF_FREE * (capacityBytes - heldBytes);
    }

    /** Releases bytes that have been forwarded or discarded. */
    void release(long released) {
        heldBytes -= released;
    }
}
