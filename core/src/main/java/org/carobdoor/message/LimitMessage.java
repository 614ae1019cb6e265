package org.carobdoor.message;

/** A message about the allotments of a limit to nodes. */
public sealed interface LimitMessage extends PeerMessage permits AllotmentReply, AllotmentRequest {}
