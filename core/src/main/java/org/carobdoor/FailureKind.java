package org.carobdoor;

/** What is known about the effect of an operation that failed. */
public enum FailureKind {
    /** The operation had no effect and will have none. It can be repeated safely. */
    NOT_DONE,
    /** The operation may have taken effect, or may still take effect. */
    UNKNOWN,
    /** The operation had no effect because the stored version differs from the expected one. */
    CONFLICT,
    /** The operation had no effect because the remote side rejected it as invalid. */
    REJECTED
}
