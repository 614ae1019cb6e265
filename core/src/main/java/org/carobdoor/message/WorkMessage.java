package org.carobdoor.message;

/** A message that replicates, acknowledges, hands over or reads accepted work. */
public sealed interface WorkMessage extends PeerMessage
        permits WorkAck, WorkCopy, WorkHandover, WorkProgress, WorkRead, WorkReadReply {}
