package org.carobdoor.node.claims;

import java.time.Instant;
import java.util.List;
import org.carobdoor.FailureKind;
import org.carobdoor.NodeId;
import org.carobdoor.PeerNetwork;
import org.carobdoor.Result;
import org.carobdoor.message.ClaimMessage;
import org.carobdoor.message.ClaimReply;
import org.carobdoor.message.PeerMessage;

/** Sends requests to the owner of a claim log, which may be this node. */
final class OwnerClient {
    private final NodeId self;
    private final PeerNetwork network;
    private final LogOwners owners;
    private final OwnedLogs localLogs;

    OwnerClient(NodeId self, PeerNetwork network, LogOwners owners, OwnedLogs localLogs) {
        this.self = self;
        this.network = network;
        this.owners = owners;
        this.localLogs = localLogs;
    }

    /** Queries the node at index {@code candidate} of the ranking, modulo its length. */
    Result<ClaimReply> ask(int log, int candidate, ClaimMessage message, Instant deadline) {
        List<NodeId> serving = owners.servingNodes(log);
        if (serving.isEmpty()) {
            return Result.err(FailureKind.NOT_DONE, "claims.ask", "none", "no live node");
        }
        NodeId owner = serving.get(Math.floorMod(candidate, serving.size()));
        if (owner.equals(self)) {
            return Result.ok(localLogs.ask(message, self.value(), deadline));
        }
        return network.call(owner, message, deadline).flatMap(reply -> toClaimReply(owner, reply));
    }

    private static Result<ClaimReply> toClaimReply(NodeId owner, PeerMessage reply) {
        return reply instanceof ClaimReply claimReply
                ? Result.ok(claimReply)
                : Result.err(
                        FailureKind.UNKNOWN,
                        "claims.ask",
                        owner.value(),
                        "unexpected reply " + reply.getClass().getSimpleName());
    }
}
