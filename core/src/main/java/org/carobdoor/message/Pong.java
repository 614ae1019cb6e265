package org.carobdoor.message;

/** Answers a {@link Ping}. */
public record Pong() implements PeerMessage {}
