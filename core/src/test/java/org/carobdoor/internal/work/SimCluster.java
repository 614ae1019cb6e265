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

/** Several simulated nodes, their network and clock, and the record of what was released. */
final class SimCluster {
    static final int DETECT_MILLIS = 1_000;
    static final int CALL_MILLIS = 200;
    private static final int TRACE_LINES = Integer.getInteger("carobdoor.work.trace", 300);

    final Random random;
    final Map<NodeId, SimNode> nodes = new LinkedHashMap<>();
    final Map<String, SimRequest> requests = new LinkedHashMap<>();
    final Set<Set<NodeId>> cuts = new HashSet<>();
    final Disturbances disturbances = new Disturbances();
    final Deque<String> trace = new ArrayDeque<>();
    private final PriorityQueue<Event> queue = new PriorityQueue<>();
    private final Map<String, OwnershipDecision> decisions = new HashMap<>();
    long now;
    double lossRate;
    double killRate;
    int kills;
    int maxKills;
    boolean gateDown;
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

    void after(long millis, Runnable action) {
        queue.add(new Event(now + millis, sequence++, action));
    }

    /** Runs {@code action} at {@code node} once it is not paused, unless it has died. */
    void at(SimNode node, long millis, Runnable action) {
        after(
                millis,
                () -> {
                    if (node.pausedUntil > now) {
                        at(node, node.pausedUntil - now, action);
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

    SimNode add(String name, String zone) {
        var node = new SimNode(this, name, zone);
        nodes.put(node.id, node);
        for (SimNode other : nodes.values()) {
            if (other != node && other.alive) {
                node.believe(other.member(MemberState.ALIVE));
                other.believe(node.member(MemberState.ALIVE));
            }
        }
        every(node, 20, node::sendProgress);
        every(node, 100, () -> node.perform(node.table.tick()));
        every(node, 100, () -> detect(node));
        return node;
    }

    private void every(SimNode node, long millis, Runnable action) {
        at(
                node,
                millis,
                () -> {
                    action.run();
                    every(node, millis, action);
                });
    }

    boolean connected(SimNode a, SimNode b) {
        return a == b || !cuts.contains(Set.of(a.id, b.id));
    }

    /** Membership: a peer that cannot be reached for the detection time is believed dead. */
    private void detect(SimNode node) {
        for (SimNode peer : nodes.values()) {
            if (peer == node) {
                continue;
            }
            boolean reachable = peer.alive && peer.pausedUntil <= now && connected(node, peer);
            if (reachable) {
                node.unreachableSince.remove(peer.id);
                node.believe(peer.self());
            } else {
                long since = node.unreachableSince.computeIfAbsent(peer.id, k -> now);
                if (now - since >= DETECT_MILLIS) {
                    node.believe(peer.member(MemberState.DEAD));
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
        at(from, CALL_MILLIS, () -> once.accept(null));
    }

    private void deliver(SimNode from, SimNode to, Runnable action) {
        int copies = random.nextDouble() < lossRate ? 0 : random.nextDouble() < lossRate ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            // A few messages are late by far more than the timeout of a call.
            long delay = random.nextDouble() < lossRate ? random.nextInt(3_000) : random.nextInt(6);
            at(
                    to,
                    delay,
                    () -> {
                        if (connected(from, to)) {
                            action.run();
                        }
                    });
        }
    }

    /** The write-once decision in the key-value service, with outages and lost answers. */
    void decide(
            SimNode node, WorkOperation.Decide ask, Consumer<Optional<OwnershipDecision>> done) {
        after(
                random.nextInt(10),
                () -> {
                    Optional<OwnershipDecision> stored = Optional.empty();
                    if (!gateDown) {
                        String key = ask.requestId() + "/" + ask.term();
                        decisions.putIfAbsent(
                                key, new OwnershipDecision(ask.winner(), ask.holder()));
                        stored = Optional.of(decisions.get(key));
                    }
                    boolean lost = random.nextDouble() < lossRate;
                    Optional<OwnershipDecision> answer = lost ? Optional.empty() : stored;
                    at(node, random.nextInt(10), () -> done.accept(answer));
                });
    }

    void startAttempt(SimNode node, WorkOperation.StartAttempt start) {
        push(node, start, start.offset(), ++attempts);
    }

    private void push(SimNode node, WorkOperation.StartAttempt start, int index, int label) {
        SimRequest request = request(start.requestId());
        at(
                node,
                1 + random.nextInt(40),
                () -> {
                    if (random.nextDouble() < 0.02) {
                        node.perform(node.table.restartAttempt(start.requestId(), start.attempt()));
                    }
                    // A stream that was given up keeps pushing: its tokens must be dropped.
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
                        push(node, start, index + tokens, label);
                    }
                });
    }

    void accepted(String request) {
        request(request).accepted = true;
    }

    void refused(WorkOperation.Refused refused) {
        SimRequest request = request(refused.requestId());
        request.refused = true;
        request.refusedNotRun = refused.runState() == RunState.NOT_RUN;
    }

    void checkReleased(SimNode node, String id) {
        if (node.table.read(id, 0) instanceof ReadResult.Owned(var slice, var epoch, var failed)) {
            request(id).publish(slice, "node " + node.id);
        }
    }

    void maybeKill(SimNode node) {
        if (node.alive && kills < maxKills && random.nextDouble() < killRate) {
            kill(node);
        }
    }

    void kill(SimNode node) {
        trace("KILL " + node.id);
        kills++;
        node.alive = false;
        for (SimRequest request : requests.values()) {
            node.table.part(request.id).ifPresent(part -> request.died(node.id, part, now));
        }
    }

    List<SimNode> living() {
        List<SimNode> list = new ArrayList<>(nodes.values());
        list.removeIf(node -> !node.alive);
        return list;
    }
}
