package org.carobdoor.message;

/** A message about accepted work: its copy, its progress, its handover, and reading its answer. */
public sealed interface WorkMessage extends PeerMessage
        permits WorkAck, WorkCopy, WorkHandover, WorkProgress, WorkRead, WorkReadReply {}
