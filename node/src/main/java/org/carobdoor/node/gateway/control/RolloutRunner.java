package org.carobdoor.node.gateway.control;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.carobdoor.internal.directory.EndpointEntry;
import org.carobdoor.internal.placement.EndpointLoad;
import org.carobdoor.internal.rollout.AnswerCounts;
import org.carobdoor.internal.rollout.Rollout;
import org.carobdoor.internal.rollout.RolloutBounds;
import org.carobdoor.internal.rollout.RolloutJudge;
import org.carobdoor.internal.rollout.RolloutOrder;
import org.carobdoor.internal.rollout.RolloutState;
import org.carobdoor.internal.rollout.RolloutView;
import org.carobdoor.internal.store.StoreAnswer;
import org.carobdoor.internal.store.StoreItem;
import org.carobdoor.message.NodeStatus;
import org.carobdoor.message.VersionEvidence;
import org.carobdoor.node.gateway.forward.ForwardingState;
import org.carobdoor.node.gateway.forward.VersionRouting;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.carobdoor.platform.RolloutDecoder;
import org.carobdoor.platform.StoreKeys;
import org.jspecify.annotations.Nullable;

/**
 * Follows the roll-outs of versions and, on the duty holder, takes their steps. A step is stored
 * before anything follows it, on condition that this node still holds the duties; the status for
 * the operator is written after it. Must be used on the event loop.
 */
final class RolloutRunner {
    private static final long TICK_INTERVAL_MILLIS = 200;

    private final EventLoop loop;
    private final StoreClient store;
    private final @Nullable DutyRunner duties;
    private final ForwardingState forwarding;
    private final LongSupplier clusterMillis;
    private final IntSupplier nodeCount;
    private final String run;
    private final DecisionLog log;
    private final @Nullable Rollout steps;
    private final Map<String, ServiceRollout> rollouts = new TreeMap<>();

    RolloutRunner(
            EventLoop loop,
            StoreClient store,
            Optional<RolloutBounds> bounds,
            @Nullable DutyRunner duties,
            ForwardingState forwarding,
            LongSupplier clusterMillis,
            IntSupplier nodeCount,
            String run,
            DecisionLog log) {
        this.loop = loop;
        this.store = store;
        this.duties = duties;
        this.forwarding = forwarding;
        this.clusterMillis = clusterMillis;
        this.nodeCount = nodeCount;
        this.run = run;
        this.log = log;
        if (duties == null || bounds.isEmpty()) {
            steps = null;
        } else {
            steps = Rollout.create(bounds.get());
            forwarding.setVersions(VersionRouting.create(bounds));
        }
    }

    /** Returns the prefix of the operator's keys to watch. */
    String operatorKeys() {
        return steps == null ? StoreKeys.CONFIGURATION : StoreKeys.OPERATOR_PREFIX;
    }

    /** Starts to follow roll-outs, if they are enabled. */
    void start() {
        if (steps == null) {
            return;
        }
        GuardedTask.repeat(loop, "rollouts", this::tick, TICK_INTERVAL_MILLIS, log);
    }

    /** Processes a key that the operator has written; keys of other matters are ignored. */
    void operatorKeyWritten(StoreItem item) {
        if (steps == null || !RolloutDecoder.isOrder(item.key())) {
            return;
        }
        RolloutOrder order = RolloutDecoder.decode(item);
        ServiceRollout r = rollout(order.service());
        if (r.applyOrder(order, clusterMillis.getAsLong())) {
            log.line("rollout.ordered")
                    .add("service", order.service())
                    .add("to", order.to())
                    .add("duration_ms", order.durationMillis())
                    .add("revision", order.revision())
                    .add("problem", '"' + order.problem().orElse("") + '"')
                    .write();
            follow(r);
        }
    }

    /** Processes a stored state of a roll-out. */
    void stateWritten(StoreItem item) {
        if (steps == null) {
            return;
        }
        Optional<RolloutState> decoded = RolloutRecord.decode(item.key(), item.value());
        if (decoded.isEmpty()) {
            log.line("rollout.record_unreadable").add("key", item.key()).write();
            return;
        }
        adopt(rollout(decoded.get().service()), decoded.get(), item.revision());
    }

    /** Processes that a state does not exist in the store at {@code revision}. */
    void stateMissing(String key, long revision) {
        ServiceRollout r = rollouts.get(key.substring(NodeStoreKeys.ROLLOUTS_PREFIX.length()));
        if (r != null) {
            r.stateMissing(revision);
        }
    }

    /** Processes a complete list of keys, which may lack states that this node knows. */
    void statesLoaded(Set<String> keys, long revision) {
        for (ServiceRollout r : rollouts.values()) {
            if (!keys.contains(RolloutRecord.key(r.service()))) {
                r.stateMissing(revision);
            }
        }
    }

    private ServiceRollout rollout(String service) {
        return rollouts.computeIfAbsent(service, ServiceRollout::new);
    }

    private void adopt(ServiceRollout r, RolloutState state, long revision) {
        if (r.applyState(state, revision)) {
            AnswerCounts a = state.answers();
            log.line("rollout.step")
                    .add("service", state.service())
                    .add("to", state.to())
                    .add("phase", state.phase())
                    .add("share", state.share())
                    .add("reason", '"' + state.reason() + '"')
                    .add("new_answers", a.newAnswers())
                    .add("new_failures", a.newFailures())
                    .add("old_answers", a.oldAnswers())
                    .add("old_failures", a.oldFailures())
                    .add("left_ms", state.deadlineMillis() - clusterMillis.getAsLong())
                    .add("revision", revision)
                    .write();
            follow(r);
        }
    }

    private void follow(ServiceRollout r) {
        forwarding.versions().selector().setRule(r.service(), r.rule());
    }

    /** Returns this node's counts for the services whose versions are being rolled out. */
    List<VersionEvidence> ownEvidence() {
        Set<String> running =
                rollouts.values().stream()
                        .filter(ServiceRollout::isRunning)
                        .map(ServiceRollout::service)
                        .collect(Collectors.toSet());
        return running.isEmpty() ? List.of() : forwarding.versions().counts().of(running);
    }

    /** Applies what another node has counted. */
    void statusReceived(NodeStatus status) {
        report(status.run(), status.versions());
    }

    private void report(String from, List<VersionEvidence> evidence) {
        if (evidence.isEmpty()) {
            return;
        }
        for (ServiceRollout r : rollouts.values()) {
            RolloutJudge judge = r.evidence();
            if (judge != null && r.isRunning()) {
                judge.report(from, evidence);
            }
        }
    }

    private void tick() {
        forwarding.versions().selector().setNodes(nodeCount.getAsInt());
        report(run, ownEvidence());
        for (ServiceRollout r : rollouts.values()) {
            if (r.judge()) {
                log.line("rollout.bad")
                        .add("service", r.service())
                        .add("reason", '"' + r.bad().orElse("") + '"')
                        .add("counts", r.evidence() == null ? "" : r.evidence().counts())
                        .write();
                follow(r);
            }
            if (duties == null || steps == null || !duties.isHolder()) {
                r.setUnconfirmed(null);
            } else if (!r.isCallPending()) {
                act(r, steps, duties.fencingToken());
            }
        }
    }

    /** Takes the next step of a roll-out, as the duty holder. */
    private void act(ServiceRollout r, Rollout rules, long fence) {
        Optional<RolloutState> next =
                Optional.ofNullable(r.unconfirmed()).or(r::stateToRestore).or(() -> next(r, rules));
        if (next.isPresent()) {
            writeState(r, next.get(), fence);
        } else if (r.isStatusDue(fence) && r.state() != null) {
            writeStatus(r, r.state(), fence);
        }
    }

    private Optional<RolloutState> next(ServiceRollout r, Rollout rules) {
        long now = clusterMillis.getAsLong();
        List<EndpointLoad> all = forwarding.endpoints().ofService(r.service());
        List<String> accepting =
                all.stream()
                        .map(EndpointLoad::entry)
                        .filter(EndpointEntry::accepting)
                        .map(EndpointEntry::version)
                        .toList();
        Optional<RolloutOrder> order = r.newOrder().map(this::checked);
        RolloutState state = r.state();
        if (order.isPresent()) {
            List<String> versions = accepting.stream().distinct().sorted().toList();
            return Optional.of(rules.begin(order.get(), state, versions, r.orderSeenMillis(), now));
        }
        RolloutJudge judge = r.evidence();
        if (state == null || judge == null) {
            return Optional.empty();
        }
        int newEndpoints = (int) accepting.stream().filter(v -> v.equals(state.to())).count();
        int oldRunning =
                all.stream()
                        .filter(e -> !e.entry().version().equals(state.to()))
                        .mapToInt(EndpointLoad::totalRunning)
                        .sum();
        RolloutView view =
                new RolloutView(
                        r.bad(),
                        judge.isGood(),
                        judge.counts(),
                        newEndpoints,
                        accepting.size() - newEndpoints,
                        oldRunning);
        return rules.next(state, view, now);
    }

    private RolloutOrder checked(RolloutOrder o) {
        boolean unknown =
                o.problem().isEmpty()
                        && forwarding
                                .configuration()
                                .map(c -> c.service(o.service()).isEmpty())
                                .orElse(false);
        return unknown
                ? new RolloutOrder(
                        o.service(),
                        o.to(),
                        o.durationMillis(),
                        o.revision(),
                        Optional.of("unknown service"))
                : o;
    }

    private void writeState(ServiceRollout r, RolloutState next, long fence) {
        r.setCallPending(true);
        store.write(
                Map.of(
                        NodeStoreKeys.DUTY_HOLDER,
                        fence,
                        RolloutRecord.key(r.service()),
                        r.stateRevision()),
                RolloutRecord.key(r.service()),
                RolloutRecord.encode(next),
                0,
                answer -> {
                    r.setCallPending(false);
                    switch (answer) {
                        case StoreAnswer.Written(long revision) -> adopt(r, next, revision);
                        // Repeated as it is: the first write may have taken effect.
                        case StoreAnswer.Unknown u -> r.setUnconfirmed(next);
                        default -> r.setUnconfirmed(null);
                    }
                });
    }

    private void writeStatus(ServiceRollout r, RolloutState state, long fence) {
        r.setCallPending(true);
        store.write(
                Map.of(NodeStoreKeys.DUTY_HOLDER, fence),
                RolloutDecoder.statusKey(r.service()),
                RolloutDecoder.encodeStatus(state),
                0,
                answer -> {
                    r.setCallPending(false);
                    if (answer instanceof StoreAnswer.Written(long revision)) {
                        r.statusWritten(state, fence);
                        log.line("rollout.status")
                                .add("service", state.service())
                                .add("to", state.to())
                                .add("phase", state.phase())
                                .add("fence", fence)
                                .add("revision", revision)
                                .write();
                    }
                });
    }

    /** Appends the metrics in the Prometheus text format. */
    void writeMetrics(StringBuilder to) {
        if (rollouts.isEmpty()) {
            return;
        }
        to.append("# TYPE carobdoor_gateway_rollout_share gauge\n");
        rollouts.values().forEach(r -> writeShare(to, r.service(), r.state()));
        to.append("# TYPE carobdoor_gateway_rollout_answers counter\n");
        for (ServiceRollout r : rollouts.values()) {
            RolloutJudge judge = r.evidence();
            if (judge != null) {
                AnswerCounts a = judge.counts();
                writeCount(to, r.service(), "new", "all", a.newAnswers());
                writeCount(to, r.service(), "new", "failed", a.newFailures());
                writeCount(to, r.service(), "old", "all", a.oldAnswers());
                writeCount(to, r.service(), "old", "failed", a.oldFailures());
            }
        }
    }

    private static void writeShare(StringBuilder to, String service, @Nullable RolloutState s) {
        if (s != null) {
            to.append("carobdoor_gateway_rollout_share{service=\"")
                    .append(label(service))
                    .append("\",phase=\"")
                    .append(s.phase())
                    .append("\"} ")
                    .append(s.share())
                    .append('\n');
        }
    }

    private static void writeCount(
            StringBuilder to, String service, String version, String kind, long count) {
        to.append("carobdoor_gateway_rollout_answers_total{service=\"")
                .append(label(service))
                .append("\",version=\"")
                .append(version)
                .append("\",answers=\"")
                .append(kind)
                .append("\"} ")
                .append(count)
                .append('\n');
    }

    /** Returns a service name without characters that a label cannot hold as they are. */
    private static String label(String service) {
        return service.replaceAll("[\"\\\\\\n]", "_");
    }
}
