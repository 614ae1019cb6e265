package org.carobdoor.node.limits;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
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
import org.carobdoor.internal.catalogue.EntryLimits;
import org.carobdoor.internal.limits.LimitKind;
import org.carobdoor.message.AllotmentReply;
import org.carobdoor.message.AllotmentRequest;
import org.carobdoor.message.PeerMessage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against exceeding limits across four nodes, using a manual clock. */
final class LimitServiceTest {
    private static final int NODES = 4;

    private final List<LimitService> nodes = new ArrayList<>();
    private final Map<NodeId, PeerHandler<AllotmentRequest>> handlers = new ConcurrentHashMap<>();
    private volatile EntryLimits limits = new EntryLimits(0, 0, 0, 0);
    private volatile Instant now = Instant.ofEpochSecond(1_800_000_000);
    private volatile boolean partitioned;

    LimitServiceTest() {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            members.add(
                    new Member(
                            new NodeId("node-" + i),
                            new AvailabilityZone("a"),
                            new InetSocketAddress("127.0.0.1", 1 + i),
                            MemberState.ALIVE,
                            true));
        }
        for (Member member : members) {
            nodes.add(
                    LimitService.start(
                            new Network(member.id()),
                            new View(member, members),
                            () -> now,
                            entry -> Optional.of(limits)));
        }
        now = now.plusSeconds(60);
    }

    @AfterEach
    void close() {
        nodes.forEach(LimitService::close);
    }

    @Test
    void requestsPerSecondHoldOverAllNodes() throws Exception {
        limits = new EntryLimits(100, 0, 0, 0);

        assertThat(startMany(300)).isEqualTo(100);
        now = now.plusSeconds(1);
        assertThat(startMany(300)).isEqualTo(100);
    }

    @Test
    void nodesCutOffFromTheHomeUseTheFallbackShare() throws Exception {
        limits = new EntryLimits(100, 0, 0, 0);
        partitioned = true;

        // The home node grants itself the whole limit; the three others use an eighth of it each.
        assertThat(startMany(1000)).isEqualTo(100 + 3 * 12);
    }

    @Test
    void requestsInFlightAreFreedAtTheirEnd() throws Exception {
        limits = new EntryLimits(0, 0, 0, 10);

        assertThat(startMany(40)).isAtMost(10);
        int before = startMany(40);
        assertThat(before).isEqualTo(0);
        nodes.get(0).end("bids");
        now = now.plusSeconds(1);
        assertThat(nodes.get(0).start("bids", now.plusSeconds(1))).isEmpty();
    }

    @Test
    void chargedTokensRefuseTheNextRequest() throws Exception {
        limits = new EntryLimits(0, 1000, 0, 0);
        assertThat(nodes.get(0).start("bids", now.plusSeconds(1))).isEmpty();

        nodes.get(0).charge("bids", 5000, 0);

        assertThat(nodes.get(0).start("bids", now.plusSeconds(1)))
                .isEqualTo(Optional.of(LimitKind.TOKENS_PER_MINUTE));
    }

    private int startMany(int count) throws InterruptedException {
        int started = 0;
        for (int i = 0; i < count; i++) {
            LimitService node = nodes.get(i % NODES);
            started += node.start("bids", now.plusSeconds(1)).isEmpty() ? 1 : 0;
        }
        return started;
    }

    private record View(Member self, List<Member> live) implements MembershipView {
        @Override
        public Optional<Member> find(NodeId id) {
            return live.stream().filter(m -> m.id().equals(id)).findFirst();
        }

        @Override
        public void onChange(MembershipListener listener) {}
    }

    private final class Network implements PeerNetwork {
        private final NodeId self;

        Network(NodeId self) {
            this.self = self;
        }

        @Override
        public Result<PeerMessage> call(NodeId peer, PeerMessage message, Instant deadline) {
            PeerHandler<AllotmentRequest> handler = handlers.get(peer);
            if (partitioned || handler == null) {
                return Result.err(FailureKind.UNKNOWN, "call", peer.value(), "partitioned");
            }
            PeerMessage reply = handler.handle(self, (AllotmentRequest) message);
            return Result.ok(reply == null ? new AllotmentReply("", 0, Instant.EPOCH) : reply);
        }

        @Override
        public void send(NodeId peer, PeerMessage message) {}

        @Override
        public <M extends PeerMessage> void handle(Class<M> type, PeerHandler<M> handler) {
            handlers.put(self, (from, message) -> handler.handle(from, type.cast(message)));
        }
    }
}
