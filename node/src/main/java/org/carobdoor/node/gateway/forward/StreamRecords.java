package org.carobdoor.node.gateway.forward;

import java.util.Optional;
import java.util.function.Consumer;
import org.carobdoor.internal.resume.StoredStarts;

/** Reads the records of started streams that all nodes keep in the store. */
public interface StreamRecords {
    /** Has no store to read from. */
    StreamRecords NONE = callback -> callback.accept(Optional.empty());

    /**
     * Reads the records after this call; {@code callback} runs on the event loop, with nothing if
     * the store does not answer.
     */
    void read(Consumer<Optional<StoredStarts>> callback);
}
