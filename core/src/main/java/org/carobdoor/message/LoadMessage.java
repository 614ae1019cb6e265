package org.carobdoor.message;

/** A message about the load of endpoints. */
public sealed interface LoadMessage extends PeerMessage permits LoadReport {}
