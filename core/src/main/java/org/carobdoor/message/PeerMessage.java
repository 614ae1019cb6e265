package org.carobdoor.message;

/** A message between nodes. The {@code wire} module defines the encoding of each message. */
public sealed interface PeerMessage
        permits ClaimMessage,
                LimitMessage,
                LoadMessage,
                NodeMessage,
                QuarantineMessage,
                Ping,
                Pong,
                ReplicaMessage,
                WorkMessage {}
