package org.carobdoor.node.work;

import org.carobdoor.RunState;

/** Counts what happens to accepted work. All methods may be called from several threads. */
public interface WorkListener {

    /** A listener that does nothing. */
    WorkListener NONE = new WorkListener() {};

    /** A request was accepted. */
    default void onAccepted(boolean copied, boolean sameZone) {}

    /** A request was refused. */
    default void onRefused(RunState runState) {}

    /** This node continues a request of another owner; {@code tokens} are computed again. */
    default void onTakeover(int tokens) {}

    /** An interrupted stream is continued; {@code tokens} are computed again. */
    default void onResume(int tokens) {}

    /** Another node continues a request that this node owned. */
    default void onSuperseded() {}

    /** A request has failed for good. */
    default void onFailed(RunState runState) {}

    /** A message about accepted work was sent; it carries {@code chunks} chunks. */
    default void onMessage(int chunks) {}
}
