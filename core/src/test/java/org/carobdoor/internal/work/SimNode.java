package org.carobdoor.internal.work;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.Member;
import org.carobdoor.MemberState;
import org.carobdoor.MembershipListener;
import org.carobdoor.MembershipView;
import org.carobdoor.NodeId;
import org.carobdoor.message.PeerMessage;
import org.carobdoor.message.WorkAck;
import org.carobdoor.message.WorkChunk;
import org.carobdoor.message.WorkCopy;
import org.carobdoor.message.WorkHandover;
import org.carobdoor.message.WorkProgress;
import org.jspecify.annotations.Nullable;

/** A simulated node: its table, its view of the other nodes, and the execution of operations. */
final class SimNode implements MembershipView {
    private static final WorkTimes TIMES = WorkTimes.defaults();

    final NodeId id;
    final AvailabilityZone zone;
    final WorkTable table;
    final Map<NodeId, Member> knownMembers = new HashMap<>();
    final Map<NodeId, Long> unreachableSince = new HashMap<>();
    private final SimCluster cluster;
    private final Set<NodeId> pendingProgress = new HashSet<>();
    boolean alive = true;
    boolean leaving;
    long pausedUntil;

    SimNode(SimCluster cluster, String name, String zone) {
        this.cluster = cluster;
        this.id = new NodeId(name);
        this.zone = new AvailabilityZone(zone);
        this.table = WorkTable.create(this, TIMES, () -> Instant.ofEpochMilli(cluster.now));
    }

    Member member(MemberState state) {
        return new Member(id, zone, InetSocketAddress.createUnresolved("sim", 1), state, true);
    }

    @Override
    public Member self() {
        return member(leaving ? MemberState.LEAVING : MemberState.ALIVE);
    }

    @Override
    public List<Member> live() {
        List<Member> all = new ArrayList<>(knownMembers.values());
        all.removeIf(m -> m.state() == MemberState.DEAD || m.state() == MemberState.LEAVING);
        all.add(self());
        return all;
    }

    @Override
    public Optional<Member> find(NodeId node) {
        return Optional.ofNullable(node.equals(id) ? self() : knownMembers.get(node));
    }

    @Override
    public void onChange(MembershipListener listener) {}

    void updateMember(Member member) {
        Member old = knownMembers.put(member.id(), member);
        if (old != null && old.state() != member.state()) {
            perform(table.onMember(member));
        }
    }

    void perform(List<WorkOperation> operations) {
        for (WorkOperation operation : operations) {
            cluster.killAtRandom(this);
            if (alive) {
                perform(operation);
            }
        }
    }

    private void perform(WorkOperation operation) {
        cluster.trace(id + " " + operation);
        switch (operation) {
            case WorkOperation.SendCopy send ->
                    cluster.call(
                            this,
                            send.to(),
                            send.copy(),
                            reply ->
                                    perform(
                                            table.onCopyOutcome(
                                                    send,
                                                    reply instanceof WorkAck ack
                                                            ? CopyOutcome.of(send.copy(), ack)
                                                            : new CopyOutcome.NotConfirmed())));
            case WorkOperation.AskRelinquish ask ->
                    cluster.call(
                            this,
                            ask.peer(),
                            new WorkAck(Map.of(), Map.of(ask.requestId(), ask.epoch())),
                            reply ->
                                    perform(
                                            table.onRelinquishOutcome(
                                                    ask,
                                                    reply instanceof WorkAck ack
                                                            && ack.epochs()
                                                                    .containsKey(
                                                                            ask.requestId()))));
            case WorkOperation.Decide decide ->
                    cluster.decide(
                            this, decide, stored -> perform(table.onDecision(decide, stored)));
            case WorkOperation.SendHandover(var request, var to) ->
                    cluster.call(this, to, new WorkHandover(List.of(request)), reply -> {});
            case WorkOperation.SendDiscard(var request, var peer, var epoch) ->
                    cluster.call(
                            this, peer, new WorkAck(Map.of(), Map.of(request, epoch)), r -> {});
            case WorkOperation.StartAttempt start -> cluster.startAttempt(this, start);
            case WorkOperation.StopAttempt stop -> {}
            case WorkOperation.Accepted(var request, var copy, var sameZone) ->
                    cluster.onAccepted(request);
            case WorkOperation.Refused refused -> cluster.onRefused(refused);
            case WorkOperation.Released(var request) -> cluster.checkReleased(this, request);
            case WorkOperation.Retired retired -> {}
        }
    }

    /** Handles a message and returns the reply, as the production driver does. */
    @Nullable PeerMessage handle(NodeId from, PeerMessage message) {
        List<WorkOperation> operations = new ArrayList<>();
        PeerMessage reply =
                switch (message) {
                    case WorkCopy copy -> table.onCopy(from, copy);
                    case WorkProgress progress -> table.onProgress(from, progress);
                    case WorkAck notice -> table.onRelinquish(from, notice, operations);
                    case WorkHandover handover -> {
                        operations.addAll(table.onHandover(from, handover));
                        yield null;
                    }
                    default -> throw new IllegalArgumentException(message.toString());
                };
        perform(operations);
        return alive ? reply : null;
    }

    void sendProgress() {
        table.collectProgress(holder -> !pendingProgress.contains(holder))
                .forEach(
                        (holder, chunks) -> {
                            pendingProgress.add(holder);
                            cluster.call(
                                    this,
                                    holder,
                                    new WorkProgress(chunks),
                                    reply -> onProgressReply(holder, chunks, reply));
                        });
    }

    private void onProgressReply(
            NodeId holder, List<WorkChunk> chunks, @Nullable PeerMessage reply) {
        pendingProgress.remove(holder);
        if (reply instanceof WorkAck ack) {
            perform(table.onProgressAck(holder, chunks, ack));
        }
    }
}
