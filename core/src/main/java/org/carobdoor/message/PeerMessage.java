package org.carobdoor.message;

/** A message between nodes. The {@code wire} module gives each one its encoding. */
public sealed interface PeerMessage
        permits ClaimMessage,
                LimitMessage,
                LoadMessage,
                NodeMessage,
                Ping,
                Pong,
                ReplicaMessage,
                WorkMessage {}
