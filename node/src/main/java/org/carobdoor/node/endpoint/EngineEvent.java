package org.carobdoor.node.endpoint;

import org.carobdoor.Failure;

/** An event in the token stream of a model engine. */
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
     * The stream failed before the answer was complete.
     *
     * @param failure the cause
     */
    record Broken(Failure failure) implements EngineEvent {}
}
