package org.carobdoor.message;

/**
 * Identifies a crash of an endpoint. Nodes see the same crash at slightly different times.
 *
 * @param endpoint the identifier of the endpoint
 * @param atMillis when the node saw the crash, in milliseconds of cluster time since the epoch
 */
public record CrashId(String endpoint, long atMillis) {}
