package org.carobdoor.node.gateway.endpoint;

/**
 * The memory for bytes that endpoints have sent and that no caller has got yet.
 *
 * <p>One answer may hold a part of what is free, so that some is always left for others however
 * many answers grow without end. The rule is the dynamic threshold of Choudhury and Hahne, "Dynamic
 * Queue Length Thresholds for Shared-Memory Packet Switches" (1998).
 *
 * <p>Load answered: endpoints in trouble send bytes without end to all requests of a node. Belongs
 * to the event loop.
 */
final class AnswerSpace {
    /** A fifth of the heap of the deployed daemon; direct buffers have as much. */
    private static final long BYTES = 32L << 20;

    /** An answer alone may hold a fifth of the space, 6.4 MB: more than a request may have. */
    private static final double SHARE_OF_FREE = 0.25;

    private final long bytes;
    private long held;

    private AnswerSpace(long bytes) {
        this.bytes = bytes;
    }

    /** Returns the space of a node. */
    static AnswerSpace create() {
        return new AnswerSpace(BYTES);
    }

    /** Returns the bytes held by all answers. */
    long held() {
        return held;
    }

    /**
     * Adds bytes of an answer, whose owner gives them back in any case.
     *
     * @param answerHolds what the answer holds with them
     * @return whether the answer may go on
     */
    boolean add(long added, long answerHolds) {
        held += added;
        return answerHolds <= SHARE_OF_FREE * (bytes - held);
    }

    /** Gives back bytes that have been passed on or dropped. */
    void release(long released) {
        held -= released;
    }
}
