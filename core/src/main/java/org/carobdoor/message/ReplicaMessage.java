package org.carobdoor.message;

/** A message about the versioned replica of catalogue entries and endpoint records. */
public sealed interface ReplicaMessage extends PeerMessage permits ReplicaItems, ReplicaPull {}
