package org.carobdoor.message;

/** A message about the state of a node or what it knows of the platform's store. */
public sealed interface NodeMessage extends PeerMessage
        permits NodeStatus, StoreMirror, StoreMirrorRequest {}
