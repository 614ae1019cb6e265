package org.carobdoor.message;

/** Asks the receiver for a {@link Pong}; keeps a connection alive and detects silent ones. */
public record Ping() implements PeerMessage {}
