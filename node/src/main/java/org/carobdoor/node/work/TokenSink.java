package org.carobdoor.node.work;

import org.carobdoor.internal.retries.AttemptFailure;

/**
 * Takes the tokens of one stream. Calls may come from any thread, one after the other; after {@link
 * #end} or {@link #failed}, and after the stream was closed, further calls have no effect.
 */
public interface TokenSink {

    /** Takes the next tokens. */
    void tokens(int count, String text);

    /** The answer is complete. */
    void end();

    /** The stream has ended before the answer was complete. */
    void failed(AttemptFailure failure);
}
