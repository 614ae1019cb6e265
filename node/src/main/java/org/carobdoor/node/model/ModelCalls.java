package org.carobdoor.node.model;

import java.time.Instant;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.node.endpoint.EndpointChooser;
import org.carobdoor.node.endpoint.EngineClient;

/**
 * Opens answers of language models.
 *
 * <pre>{@code
 * try (ResumingStream stream = models.open(entry, request, "", 0, deadline)) {
 *     EngineEvent event = stream.next();
 * }
 * }</pre>
 */
public final class ModelCalls {
    private final EndpointChooser chooser;
    private final EngineClient engines;
    private final ResumeListener listener;

    /** Creates an opener of streams. */
    public ModelCalls(EndpointChooser chooser, EngineClient engines, ResumeListener listener) {
        this.chooser = chooser;
        this.engines = engines;
        this.listener = listener;
    }

    /**
     * Prepares the answer to {@code request} after {@code resumeTokens} tokens with the text {@code
     * resumeText}. Nothing is sent before the first call of {@link ResumingStream#next}.
     */
    public ResumingStream open(
            CatalogueEntry entry,
            ModelRequest request,
            String resumeText,
            int resumeTokens,
            Instant deadline) {
        return new ResumingStream(
                chooser, engines, listener, entry, request, resumeText, resumeTokens, deadline);
    }
}
