package org.carobdoor.node.endpoint;

import org.carobdoor.Failure;

/** What a model engine's stream delivers next. */
public sealed interface EngineEvent {

    /**
     * New tokens.
     *
     * @param count the number of tokens
     * @param text their text
     */
    record Tokens(int count, String text) implements EngineEvent {}

    /**
     * The answer is complete.
     *
     * @param reason the engine's finish reason, for example {@code "stop"}
     */
    record Finished(String reason) implements EngineEvent {}

    /**
     * The stream broke before the answer was complete.
     *
     * @param failure what happened
     */
    record Broken(Failure failure) implements EngineEvent {}
}
