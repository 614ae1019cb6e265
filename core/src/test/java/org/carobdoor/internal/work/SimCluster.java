package org.carobdoor.internal.work;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.carobdoor.MemberState;
import org.carobdoor.NodeId;
import org.carobdoor.RunState;
import org.carobdoor.message.PeerMessage;
import org.jspecify.annotations.Nullable;

/** Simulated nodes with their network, clock and decision store, and the requests under test. */
final class SimCluster {
    static final int DETECTION_MILLIS = 1_000;
    static final int CALL_TIMEOUT_MILLIS = 200;
    private static final int TRACE_LINES = Integer.getInteger("carobdoor.work.trace", 300);

    final Random random;
    final Map<NodeId, SimNode> nodes = new LinkedHashMap<>();
    final Map<String, SimRequest> requests = new LinkedHashMap<>();
    final Set<Set<NodeId>> partitions = new HashSet<>();
    final FaultIntervals faultIntervals = new FaultIntervals();
    final Deque<String> trace = new ArrayDeque<>();
    private final PriorityQueue<Event> queue = new PriorityQueue<>();
    private final Map<String, OwnershipDecision> decisions = new HashMap<>();
    long now;
    double lossRate;
    double killRate;
    int kills;
    int maxKills;
    boolean decisionStoreDown;
    private long sequence;
    private int attempts;

    SimCluster(long seed) {
        random = new Random(seed);
    }

    private record Event(long at, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            int byTime = Long.compare(at, o.at);
            return byTime != 0 ? byTime : Long.compare(order, o.order);
        }
    }

    SimNode node(NodeId id) {
        return Objects.requireNonNull(nodes.get(id));
    }

    SimRequest request(String id) {
        return Objects.requireNonNull(requests.get(id));
    }

    void schedule(long millis, Runnable action) {
        queue.add(new Event(now + millis, sequence++, action));
    }

    /** Runs {@code action} at {@code node} when it is not paused, unless it has failed. */
    void scheduleOn(SimNode node, long millis, Runnable action) {
        schedule(
                millis,
                () -> {
                    if (node.pausedUntil > now) {
                        scheduleOn(node, node.pausedUntil - now, action);
                    } else if (node.alive) {
                        action.run();
                    }
                });
    }

    void run(long until) {
        while (!queue.isEmpty() && queue.peek().at() <= until) {
            Event event = queue.remove();
            now = event.at();
            event.action().run();
        }
        now = until;
    }

    void trace(String line) {
        trace.add(now + " " + line);
        if (trace.size() > TRACE_LINES) {
            trace.remove();
        }
    }

    SimNode addNode(String name, String zone) {
        var node = new SimNode(this, name, zone);
        nodes.put(node.id, node);
        for (SimNode other : nodes.values()) {
            if (other != node && other.alive) {
                node.updateMember(other.member(MemberState.ALIVE));
                other.updateMember(node.member(MemberState.ALIVE));
            }
        }
        scheduleRepeating(node, 20, node::sendProgress);
        scheduleRepeating(node, 100, () -> node.perform(node.table.tick()));
        scheduleRepeating(node, 100, () -> detectFailures(node));
        return node;
    }

    private void scheduleRepeating(SimNode node, long millis, Runnable action) {
        scheduleOn(
                node,
                millis,
                () -> {
                    action.run();
                    scheduleRepeating(node, millis, action);
                });
    }

    boolean connected(SimNode a, SimNode b) {
        return a == b || !partitions.contains(Set.of(a.id, b.id));
    }

    /**
     * Simulates membership: a peer that is unreachable for the detection time is considered dead.
     */
    private void detectFailures(SimNode node) {
        for (SimNode peer : nodes.values()) {
            if (peer == node) {
                continue;
            }
            boolean reachable = peer.alive && peer.pausedUntil <= now && connected(node, peer);
            if (reachable) {
                node.unreachableSince.remove(peer.id);
                node.updateMember(peer.self());
            } else {
                long since = node.unreachableSince.computeIfAbsent(peer.id, k -> now);
                if (now - since >= DETECTION_MILLIS) {
                    node.updateMember(peer.member(MemberState.DEAD));
                }
            }
        }
    }

    void call(SimNode from, NodeId to, PeerMessage message, Consumer<@Nullable PeerMessage> done) {
        var answered = new AtomicBoolean();
        Consumer<@Nullable PeerMessage> once =
                reply -> {
                    if (answered.compareAndSet(false, true)) {
                        done.accept(reply);
                    }
                };
        SimNode peer = node(to);
        deliver(
                from,
                peer,
                () -> {
                    PeerMessage reply = peer.handle(from.id, message);
                    if (reply != null) {
                        deliver(peer, from, () -> once.accept(reply));
                    }
                });
        scheduleOn(from, CALL_TIMEOUT_MILLIS, () -> once.accept(null));
    }

    private void deliver(SimNode from, SimNode to, Runnable action) {
        int copies = random.nextDouble() < lossRate ? 0 : random.nextDouble() < lossRate ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            // Some messages are delayed by far more than the call timeout.
            long delay = random.nextDouble() < lossRate ? random.nextInt(3_000) : random.nextInt(6);
            scheduleOn(
                    to,
                    delay,
                    () -> {
                        if (connected(from, to)) {
                            action.run();
                        }
                    });
        }
    }

    /**
     * Simulates the write-once decision in the key-value service, with outages and lost replies.
     */
    void decide(
            SimNode node, WorkOperation.Decide ask, Consumer<Optional<OwnershipDecision>> done) {
        schedule(
                random.nextInt(10),
                () -> {
                    Optional<OwnershipDecision> stored = Optional.empty();
                    if (!decisionStoreDown) {
                        String key = ask.requestId() + "/" + ask.term();
                        decisions.putIfAbsent(
                                key, new OwnershipDecision(ask.winner(), ask.holder()));
                        stored = Optional.of(decisions.get(key));
                    }
                    boolean lost = random.nextDouble() < lossRate;
                    Optional<OwnershipDecision> answer = lost ? Optional.empty() : stored;
                    scheduleOn(node, random.nextInt(10), () -> done.accept(answer));
                });
    }

    void startAttempt(SimNode node, WorkOperation.StartAttempt start) {
        produceTokens(node, start, start.offset(), ++attempts);
    }

    private void produceTokens(
            SimNode node, WorkOperation.StartAttempt start, int index, int label) {
        SimRequest request = request(start.requestId());
        scheduleOn(
                node,
                1 + random.nextInt(40),
                () -> {
                    if (random.nextDouble() < 0.02) {
                        node.perform(node.table.restartAttempt(start.requestId(), start.attempt()));
                    }
                    // An abandoned attempt keeps producing tokens, which must be dropped.
                    int tokens = Math.min(1 + random.nextInt(2), request.length - index);
                    var text = new StringBuilder();
                    for (int i = 0; i < tokens; i++) {
                        text.append(request.token(index + i, label));
                    }
                    boolean last = index + tokens == request.length;
                    node.perform(
                            node.table.onTokens(
                                    start.requestId(),
                                    start.attempt(),
                                    tokens,
                                    text.toString(),
                                    last));
                    if (!last) {
                        produceTokens(node, start, index + tokens, label);
                    }
                });
    }

    void onAccepted(String request) {
        request(request).accepted = true;
    }

    void onRefused(WorkOperation.Refused refused) {
        SimRequest request = request(refused.requestId());
        request.refused = true;
        request.refusedNotRun = refused.runState() == RunState.NOT_RUN;
    }

    void checkReleased(SimNode node, String id) {
        if (node.table.read(id, 0) instanceof ReadResult.Owned(var slice, var epoch, var failed)) {
            request(id).recordReleased(slice, "node " + node.id);
        }
    }

    void killAtRandom(SimNode node) {
        if (node.alive && kills < maxKills && random.nextDouble() < killRate) {
            kill(node);
        }
    }

    void kill(SimNode node) {
        trace("KILL " + node.id);
        kills++;
        node.alive = false;
        for (SimRequest request : requests.values()) {
            node.table
                    .role(request.id)
                    .ifPresent(role -> request.recordFailure(node.id, role, now));
        }
    }

    List<SimNode> aliveNodes() {
        List<SimNode> list = new ArrayList<>(nodes.values());
        list.removeIf(node -> !node.alive);
        return list;
    }
}
