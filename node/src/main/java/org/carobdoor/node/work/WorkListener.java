package org.carobdoor.node.work;

import org.carobdoor.RunState;

/** Receives events about accepted work, for metrics. All methods may be called concurrently. */
public interface WorkListener {

    /** A listener that does nothing. */
    WorkListener NONE = new WorkListener() {};

    /** Called when a request was accepted. */
    default void onAccepted(boolean copied, boolean sameZone) {}

    /** Called when a request was refused. */
    default void onRefused(RunState runState) {}

    /** Called when this node takes over a request; {@code tokens} tokens are recomputed. */
    default void onTakeover(int tokens) {}

    /** Called when an interrupted stream is resumed; {@code tokens} tokens are recomputed. */
    default void onResume(int tokens) {}

    /** Called when another node has taken over a request that this node owned. */
    default void onSuperseded() {}

    /** Called when a request has failed permanently. */
    default void onFailed(RunState runState) {}

    /** Called when a message about accepted work with {@code chunks} chunks was sent. */
    default void onMessage(int chunks) {}
}
