package org.carobdoor.message;

/**
 * Asks a node for what it knows of the platform's store beyond these revisions; it answers by a
 * {@link StoreMirror}.
 *
 * @param configurationRevision the revision of the configuration that the asking node has
 * @param directoryRevision the revision up to which the asking node knows the endpoints
 */
public record StoreMirrorRequest(long configurationRevision, long directoryRevision)
        implements NodeMessage {}
