package org.carobdoor.internal.request;

/** The request of a connection that an answer belongs to. */
public enum AnswerOwner {
    /** The request that was sent last. */
    CURRENT,
    /** A request that was sent before, so the answer repeats an answer that has been received. */
    EARLIER,
    /** It cannot be told; the answer may be the one that the last request is waiting for. */
    UNKNOWN
}
