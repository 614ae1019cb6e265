package org.carobdoor.node.work;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.Bytes;
import org.carobdoor.Member;
import org.carobdoor.MemberState;
import org.carobdoor.MembershipListener;
import org.carobdoor.MembershipView;
import org.carobdoor.NodeId;
import org.carobdoor.RunState;
import org.carobdoor.internal.retries.AttemptFailure;
import org.carobdoor.standins.fake.FakeKeyValueStore;
import org.carobdoor.standins.fake.FakePeerNetwork;

/** Several work services in one process, with a membership that tests control. */
final class TestNodes implements AutoCloseable {
    final InstantSource clock = InstantSource.system();
    final FakePeerNetwork network = FakePeerNetwork.create(1, clock);
    final FakeKeyValueStore store = FakeKeyValueStore.create(1, clock);
    final Map<NodeId, View> views = new LinkedHashMap<>();
    final Map<NodeId, WorkService> services = new LinkedHashMap<>();
    final Map<String, NodeId> claims = new ConcurrentHashMap<>();
    final AtomicInteger opened = new AtomicInteger();
    volatile int failAfterTokens = Integer.MAX_VALUE;
    volatile int tokenMillis = 5;
    volatile int failFirstAttempts;

    /** Generates tokens {@code 0 1 2 ...}; the payload is their number. */
    private final class Source implements TokenSource {
        @Override
        public TokenStream open(TokenRequest request, TokenSink sink) {
            if (opened.incrementAndGet() <= failFirstAttempts) {
                sink.failed(new AttemptFailure.NotSent("refused"));
                return () -> {};
            }
            int length = Integer.parseInt(request.spec().payload().toUtf8());
            if (length < 0) {
                throw new IllegalStateException("the source is broken");
            }
            int stop = request.attempt() == 1 ? failAfterTokens : Integer.MAX_VALUE;
            Thread thread =
                    Thread.startVirtualThread(
                            () -> {
                                for (int i = request.resumeTokens(); i < length; i++) {
                                    if (i == stop || !sleep()) {
                                        sink.failed(new AttemptFailure.MaybeSent("reset"));
                                        return;
                                    }
                                    sink.tokens(1, i + " ");
                                }
                                sink.end();
                            });
            return thread::interrupt;
        }

        private boolean sleep() {
            try {
                Thread.sleep(tokenMillis);
                return true;
            } catch (InterruptedException e) {
                return false;
            }
        }
    }

    private final class Claims implements ClaimAcquirer {
        private final NodeId self;

        Claims(NodeId self) {
            this.self = self;
        }

        @Override
        public Outcome claim(String requestId, WorkSpec spec, Instant deadline) {
            NodeId holder = claims.computeIfAbsent(requestId, id -> self);
            return holder.equals(self) ? Outcome.GRANTED : Outcome.HELD_ELSEWHERE;
        }

        @Override
        public void finished(String requestId, WorkSpec spec, RunState runState) {}
    }

    /** The membership as seen by one node. */
    final class View implements MembershipView {
        private final NodeId id;
        private final AvailabilityZone zone;
        private final List<MembershipListener> listeners = new CopyOnWriteArrayList<>();
        private volatile MemberState state = MemberState.ALIVE;

        View(NodeId id, AvailabilityZone zone) {
            this.id = id;
            this.zone = zone;
        }

        @Override
        public Member self() {
            return new Member(id, zone, InetSocketAddress.createUnresolved("t", 1), state, true);
        }

        @Override
        public List<Member> live() {
            List<Member> all = new ArrayList<>();
            views.values().stream()
                    .filter(v -> v.state == MemberState.ALIVE || v == this)
                    .forEach(v -> all.add(v.self()));
            return all;
        }

        @Override
        public Optional<Member> find(NodeId node) {
            return Optional.ofNullable(views.get(node)).map(View::self);
        }

        @Override
        public void onChange(MembershipListener listener) {
            listeners.add(listener);
        }
    }

    TestNodes(int count) {
        for (int i = 0; i < count; i++) {
            var id = new NodeId("n" + i);
            views.put(id, new View(id, new AvailabilityZone("z" + i % 3)));
        }
        views.keySet().forEach(this::start);
    }

    private void start(NodeId id) {
        var ports =
                new WorkPorts(
                        network.node(id),
                        view(id),
                        new Source(),
                        KeyValueTakeoverStore.create(store),
                        new Claims(id),
                        WorkListener.NONE,
                        clock,
                        new Random(id.hashCode()));
        services.put(id, WorkService.start(ports));
    }

    View view(NodeId id) {
        return Objects.requireNonNull(views.get(id));
    }

    WorkService service(int number) {
        return Objects.requireNonNull(services.get(new NodeId("n" + number)));
    }

    /** Changes the state of one node as seen by all other nodes. */
    void setState(int number, MemberState state) {
        View changed = view(new NodeId("n" + number));
        changed.state = state;
        views.values().stream()
                .filter(v -> v != changed)
                .forEach(v -> v.listeners.forEach(l -> l.onChange(changed.self())));
    }

    void kill(int number) {
        network.stop(new NodeId("n" + number));
        service(number).close();
        setState(number, MemberState.DEAD);
    }

    WorkSpec spec(int tokens, boolean repeatable) {
        Bytes payload = Bytes.utf8(Integer.toString(tokens));
        return new WorkSpec("drafts", payload, repeatable, clock.instant().plusSeconds(30));
    }

    static String answer(int tokens) {
        var text = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            text.append(i).append(' ');
        }
        return text.toString();
    }

    /** Reads from one node until the answer has ended. */
    String readAll(int number, String id) {
        var text = new StringBuilder();
        int offset = 0;
        Instant deadline = clock.instant().plusSeconds(10);
        while (clock.instant().isBefore(deadline)) {
            var read = service(number).read(id, offset, clock.instant().plusSeconds(1));
            if (read.isOk()) {
                AnswerPart part = read.orElseThrow();
                text.append(part.text());
                offset = part.nextOffset();
                if (part.state() != AnswerPart.State.RUNNING) {
                    return text + part.state().label();
                }
            }
        }
        return text + "timeout";
    }

    @Override
    public void close() {
        services.values().forEach(WorkService::close);
    }
}
