package org.carobdoor.message;

/** A message about the shares of a limit that nodes hold. */
public sealed interface LimitMessage extends PeerMessage permits AllotmentReply, AllotmentRequest {}
