package org.carobdoor.node.work;

import org.carobdoor.internal.retries.AttemptFailure;

/**
 * Receives the tokens of one stream. Calls may come from any thread but are never concurrent; after
 * {@link #end} or {@link #failed}, and after the stream was closed, further calls have no effect.
 */
public interface TokenSink {

    /** Called with the next tokens. */
    void tokens(int count, String text);

    /** Called when the answer is complete. */
    void end();

    /** Called when the stream has ended before the answer was complete. */
    void failed(AttemptFailure failure);
}
