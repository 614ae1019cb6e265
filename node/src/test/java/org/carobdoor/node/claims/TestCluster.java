package org.carobdoor.node.claims;

import java.net.InetSocketAddress;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BiFunction;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.FailureKind;
import org.carobdoor.Member;
import org.carobdoor.MemberState;
import org.carobdoor.MembershipListener;
import org.carobdoor.MembershipView;
import org.carobdoor.NodeId;
import org.carobdoor.PeerHandler;
import org.carobdoor.PeerNetwork;
import org.carobdoor.Result;
import org.carobdoor.message.PeerMessage;
import org.jspecify.annotations.Nullable;

/** Three nodes in three zones with one store. Peer calls run on the caller's thread. */
final class TestCluster implements AutoCloseable {
    final TestStore store = new TestStore();
    final Map<NodeId, ClaimService> nodes = new HashMap<>();
    private final List<Member> members = new ArrayList<>();
    private final Map<NodeId, Map<Class<?>, BiFunction<NodeId, PeerMessage, @Nullable PeerMessage>>>
            handlers = new ConcurrentHashMap<>();

    /** Nodes that do not respond to any peer. */
    final Set<NodeId> silent = ConcurrentHashMap.newKeySet();

    /** Nodes whose callers wait for a reply until their deadline. */
    final Set<NodeId> stalled = ConcurrentHashMap.newKeySet();

    /** Types of the messages that are lost between nodes. */
    final Set<Class<? extends PeerMessage>> lost = ConcurrentHashMap.newKeySet();

    /** Nodes that the others regard as dead. */
    final Set<NodeId> dead = ConcurrentHashMap.newKeySet();

    TestCluster() {
        for (int i = 0; i < 3; i++) {
            members.add(
                    new Member(
                            new NodeId("node-" + i),
                            new AvailabilityZone("zone-" + i),
                            new InetSocketAddress("127.0.0.1", 1 + i),
                            MemberState.ALIVE,
                            true));
        }
        for (Member member : members) {
            ClaimService service =
                    ClaimService.start(
                            ClaimSettings.DEFAULT,
                            store,
                            network(member.id()),
                            view(member),
                            InstantSource.system(),
                            new Random(member.id().hashCode()),
                            ClaimListener.NONE);
            nodes.put(member.id(), service);
        }
    }

    ClaimService node(String id) {
        return java.util.Objects.requireNonNull(nodes.get(new NodeId(id)));
    }

    private MembershipView view(Member self) {
        return new MembershipView() {
            @Override
            public Member self() {
                return self;
            }

            @Override
            public List<Member> live() {
                return members.stream().filter(m -> !dead.contains(m.id())).toList();
            }

            @Override
            public Optional<Member> find(NodeId id) {
                return members.stream().filter(m -> m.id().equals(id)).findFirst();
            }

            @Override
            public void onChange(MembershipListener listener) {}
        };
    }

    private PeerNetwork network(NodeId self) {
        return new PeerNetwork() {
            @Override
            public Result<PeerMessage> call(
                    NodeId peer, PeerMessage message, java.time.Instant deadline) {
                if (stalled.contains(peer)) {
                    LockSupport.parkUntil(deadline.toEpochMilli());
                    return Result.err(FailureKind.UNKNOWN, "call", peer.value(), "no reply");
                }
                PeerMessage reply = silent.contains(peer) ? null : deliver(self, peer, message);
                return reply == null
                        ? Result.err(FailureKind.UNKNOWN, "call", peer.value(), "no reply")
                        : Result.ok(reply);
            }

            @Override
            public void send(NodeId peer, PeerMessage message) {
                if (!silent.contains(peer)) {
                    var unused = deliver(self, peer, message);
                }
            }

            @Override
            public <M extends PeerMessage> void handle(Class<M> type, PeerHandler<M> handler) {
                handlers.computeIfAbsent(self, id -> new ConcurrentHashMap<>())
                        .put(type, (from, message) -> handler.handle(from, type.cast(message)));
            }
        };
    }

    private @Nullable PeerMessage deliver(NodeId from, NodeId to, PeerMessage message) {
        if (lost.contains(message.getClass())) {
            return null;
        }
        var handler = handlers.getOrDefault(to, Map.of()).get(message.getClass());
        return handler == null ? null : handler.apply(from, message);
    }

    @Override
    public void close() {
        nodes.values().forEach(ClaimService::close);
    }
}
