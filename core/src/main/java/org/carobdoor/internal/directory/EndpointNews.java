package org.carobdoor.internal.directory;

/**
 * What the state of an endpoint in the directory rests on.
 *
 * @param source where this node learned of it
 * @param revision the store's revision of the entry or of its removal
 */
public record EndpointNews(NewsSource source, long revision) {}
