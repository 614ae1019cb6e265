package org.carobdoor.message;

/** Requests a {@link Pong}, to keep a connection alive and to detect unresponsive peers. */
public record Ping() implements PeerMessage {}
