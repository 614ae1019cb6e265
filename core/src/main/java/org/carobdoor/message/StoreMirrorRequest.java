package org.carobdoor.message;

/**
 * Requests the parts of the platform store that are newer than the given revisions. The reply is a
 * {@link StoreMirror}.
 *
 * @param configurationRevision configuration revision of the requesting node
 * @param directoryRevision endpoint directory revision of the requesting node
 */
public record StoreMirrorRequest(long configurationRevision, long directoryRevision)
        implements NodeMessage {}
