package org.carobdoor.node.claims;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.Bytes;
import org.carobdoor.Member;
import org.carobdoor.MembershipView;
import org.carobdoor.NodeId;
import org.carobdoor.PeerNetwork;
import org.carobdoor.Result;
import org.carobdoor.internal.Rendezvous;
import org.carobdoor.internal.claims.Id128;
import org.carobdoor.message.AnswerCopy;
import org.carobdoor.message.AnswerRead;
import org.carobdoor.message.AnswerReply;

/** Stores answers on this node and on one node in another availability zone, and looks them up. */
final class AnswerReplicator {
    private final AnswerStore store;
    private final PeerNetwork network;
    private final MembershipView membership;

    AnswerReplicator(AnswerStore store, PeerNetwork network, MembershipView membership) {
        this.store = store;
        this.network = network;
        this.membership = membership;
    }

    void register() {
        network.handle(
                AnswerCopy.class,
                (from, copy) -> {
                    StoredAnswer answer =
                            new StoredAnswer(copy.status(), copy.contentType(), copy.body());
                    store.put(Id128.of(copy.keyHash()), answer, copy.answerKeptUntil());
                    return null;
                });
        network.handle(AnswerRead.class, (from, read) -> reply(Id128.of(read.keyHash())));
    }

    void put(Id128 key, StoredAnswer answer, Instant keptUntil) {
        store.put(key, answer, keptUntil);
        AnswerCopy copy =
                new AnswerCopy(
                        key.toBytes(),
                        answer.status(),
                        answer.contentType(),
                        answer.body(),
                        keptUntil);
        copyHolder(key, membership.self().zone()).ifPresent(node -> network.send(node, copy));
    }

    Optional<StoredAnswer> findLocal(Id128 key) {
        return store.get(key);
    }

    /** Looks up an answer on this node, on {@code holder}, and on the node that stores the copy. */
    Optional<StoredAnswer> find(Id128 key, String holder, Instant deadline) {
        Optional<StoredAnswer> localAnswer = store.get(key);
        if (localAnswer.isPresent() || holder.isBlank()) {
            return localAnswer;
        }
        for (NodeId node : holders(key, new NodeId(holder))) {
            Result<StoredAnswer> read =
                    network.call(node, new AnswerRead(key.toBytes()), deadline)
                            .map(
                                    message ->
                                            message
                                                            instanceof
                                                            AnswerReply(
                                                                    var status,
                                                                    var type,
                                                                    var body)
                                                    ? new StoredAnswer(status, type, body)
                                                    : new StoredAnswer(0, "", Bytes.empty()));
            if (read instanceof Result.Ok<StoredAnswer>(var answer) && answer.status() != 0) {
                return Optional.of(answer);
            }
        }
        return Optional.empty();
    }

    private List<NodeId> holders(Id128 key, NodeId holder) {
        NodeId self = membership.self().id();
        List<NodeId> holders = new ArrayList<>();
        boolean live = membership.live().stream().anyMatch(member -> member.id().equals(holder));
        if (live) {
            holders.add(holder);
        }
        membership
                .find(holder)
                .flatMap(member -> copyHolder(key, member.zone()))
                .ifPresent(holders::add);
        holders.remove(self);
        return holders;
    }

    /**
     * Returns the top-ranked node by rendezvous hashing outside the zone of the node that received
     * the answer.
     */
    private Optional<NodeId> copyHolder(Id128 key, AvailabilityZone outside) {
        List<Member> others =
                membership.live().stream().filter(m -> !m.zone().equals(outside)).toList();
        return Rendezvous.rank(key.toString(), others, m -> m.id().value()).stream()
                .findFirst()
                .map(Member::id);
    }

    private AnswerReply reply(Id128 key) {
        return store.get(key)
                .map(a -> new AnswerReply(a.status(), a.contentType(), a.body()))
                .orElse(new AnswerReply(0, "", Bytes.empty()));
    }
}
