package org.carobdoor.message;

/** A message about the state of a node or its copy of the store of the platform. */
public sealed interface NodeMessage extends PeerMessage
        permits NodeStatus,
                QuotaLoanReply,
                QuotaLoanRequest,
                StatusBatch,
                StoreMirror,
                StoreMirrorRequest,
                StoreNews,
                StoreNewsRequest {}
