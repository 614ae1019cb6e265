package org.carobdoor.node.gateway.control;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.carobdoor.Bytes;
import org.carobdoor.internal.duty.ClusterUsage;
import org.carobdoor.internal.duty.DutyLease;
import org.carobdoor.internal.duty.DutyStep;
import org.carobdoor.internal.duty.UsageCounts;
import org.carobdoor.internal.duty.UsageReports;
import org.carobdoor.internal.duty.UsageStep;
import org.carobdoor.internal.store.StoreAnswer;
import org.carobdoor.internal.store.StoreItem;
import org.carobdoor.node.gateway.forward.ForwardingState;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.carobdoor.node.gateway.settings.GatewayBounds;
import org.carobdoor.platform.CloudCalls;
import org.carobdoor.platform.HttpCall;

/**
 * The duties that one node performs for all: usage reports and orders of endpoints. Belongs to the
 * event loop.
 */
final class Duties implements FleetDriver.Sender {
    private static final long TICK_MILLIS = 200;
    private static final long FLEET_TICK_MILLIS = 500;

    /** How much of the counts may be lost when all processes stop at once. */
    private static final long OPEN_SAVE_NANOS = 1_000_000_000L;

    /** Windows that may not be reported yet: reports are due two windows after the end. */
    private static final int OPEN_WINDOWS = 3;

    private static final long CLOUD_TIMEOUT_MILLIS = 1_500;

    private final EventLoop loop;
    private final Store store;
    private final PlatformClient cloud;
    private final DutyLease tenure;
    private final UsageReports reports;
    private final UsageCounts windows;
    private final ClusterUsage usage;
    private final FleetDriver fleet;
    private final GatewayBounds bounds;
    private final String node;
    private final String run;
    private final LongSupplier clusterMillis;
    private final BooleanSupplier allNodesHeard;
    private final DecisionLog log;
    private long usageRevision;
    private long openSavedNanos;
    private boolean openUsageRead;
    private boolean usageKnown;
    private boolean usageStepOpen;
    private boolean wasHolder;

    Duties(
            EventLoop loop,
            Store store,
            InetSocketAddress cloudAddress,
            DutyLease tenure,
            ClusterUsage usage,
            ForwardingState state,
            GatewayBounds bounds,
            String node,
            String run,
            LongSupplier clusterMillis,
            BooleanSupplier allNodesHeard,
            DecisionLog log) {
        this.loop = loop;
        this.store = store;
        this.cloud = new PlatformClient(loop, cloudAddress, log);
        this.tenure = tenure;
        this.windows = state.usage();
        this.reports = UsageReports.create(windows);
        this.usage = usage;
        this.fleet = new FleetDriver(state, this, node, log);
        this.bounds = bounds;
        this.node = node;
        this.run = run;
        this.clusterMillis = clusterMillis;
        this.allNodesHeard = allNodesHeard;
        this.log = log;
    }

    FleetDriver fleet() {
        return fleet;
    }

    void start() {
        GuardedTask.repeat(loop, "duties", this::tick, TICK_MILLIS, log);
        GuardedTask.repeat(
                loop,
                "fleet",
                () -> fleet.tick(bounds.ordersEndpoints() && isHolder(), run),
                FLEET_TICK_MILLIS,
                log);
    }

    /** Gives the duties up, so that another node need not wait for the end of the lease. */
    void stop() {
        OptionalLong lease = tenure.release(System.nanoTime());
        lease.ifPresent(this::endLease);
    }

    private void endLease(long lease) {
        // Repeated while the store is away: the next holder would wait for the end of the lease.
        store.endLease(
                lease,
                () -> loop.schedule(() -> endLease(lease), TICK_MILLIS, TimeUnit.MILLISECONDS));
    }

    /** Returns whether this node holds the duties now. */
    boolean isHolder() {
        return tenure.isHolder(System.nanoTime(), System.currentTimeMillis());
    }

    @Override
    public long fence() {
        return tenure.fencingToken();
    }

    /** Notes what the store holds under the keys of the duties. */
    void keyWritten(StoreItem item) {
        if (item.key().equals(OwnKeys.DUTY)) {
            tenure.keyWritten(
                    item.value().toUtf8(),
                    item.revision(),
                    System.nanoTime(),
                    System.currentTimeMillis());
        } else if (item.key().equals(OwnKeys.USAGE) && item.revision() > usageRevision) {
            usageRevision = item.revision();
            usageKnown = true;
            reports.loadRecorded(UsageRecord.decode(item.value()));
        }
    }

    /** Notes that a key does not exist at {@code revision}. */
    void keyMissing(String key, long revision) {
        if (key.equals(OwnKeys.DUTY)) {
            tenure.keyMissing(revision, System.nanoTime());
        } else if (key.equals(OwnKeys.USAGE)) {
            usageKnown = true;
        }
    }

    private void tick() {
        perform(tenure.next(System.nanoTime(), System.currentTimeMillis()));
        boolean holder = isHolder();
        if (holder != wasHolder) {
            wasHolder = holder;
            log.line(holder ? "duty.taken" : "duty.lost")
                    .add("fence", tenure.fencingToken())
                    .write();
            if (holder) {
                readOpenUsage();
            }
        }
        if (holder
                && bounds.reportsUsage()
                && System.nanoTime() - openSavedNanos > OPEN_SAVE_NANOS) {
            saveOpenUsage();
        }
        if (holder && bounds.reportsUsage() && usageKnown && openUsageRead && !usageStepOpen) {
            perform(reports.next(usage, allNodesHeard.getAsBoolean(), clusterMillis.getAsLong()));
        }
    }

    /** Reads the counts that an earlier holder saved; nodes may have stopped since. */
    private void readOpenUsage() {
        openUsageRead = false;
        store.range(
                OwnKeys.OPEN_USAGE,
                "",
                answer -> {
                    if (answer instanceof StoreAnswer.Page page) {
                        openUsageRead = true;
                        page.items().forEach(i -> UsageRecord.decodeOpen(i.value(), usage));
                    } else if (isHolder()) {
                        loop.schedule(this::readOpenUsage, TICK_MILLIS, TimeUnit.MILLISECONDS);
                    }
                });
    }

    /** Saves the counts of the last windows, so that they outlive all processes. */
    private void saveOpenUsage() {
        if (!openUsageRead) {
            return;
        }
        openSavedNanos = System.nanoTime();
        long first = windows.windowAt(clusterMillis.getAsLong()) - OPEN_WINDOWS;
        Bytes value = UsageRecord.encodeOpen(usage.since(first));
        if (value.size() == 0) {
            return;
        }
        // A lost save is made up for by the next one.
        store.write(
                Map.of(OwnKeys.DUTY, tenure.fencingToken()),
                OwnKeys.OPEN_USAGE,
                value,
                0,
                answer -> {});
    }

    private void perform(DutyStep step) {
        switch (step) {
            case DutyStep.Wait w -> {}
            case DutyStep.TakeLease t ->
                    store.takeLease(bounds.dutyLease().toMillis(), this::leaseAnswered);
            case DutyStep.Renew(long lease) -> store.renewLease(lease, this::renewalAnswered);
            case DutyStep.WriteHolder(long lease, String token) ->
                    store.write(
                            Map.of(OwnKeys.DUTY, 0L),
                            OwnKeys.DUTY,
                            Bytes.utf8(token),
                            lease,
                            this::holderAnswered);
        }
    }

    private void leaseAnswered(StoreAnswer answer) {
        if (answer instanceof StoreAnswer.LeaseGranted(long lease, long ttl)) {
            tenure.leaseTaken(lease, ttl);
            perform(tenure.next(System.nanoTime(), System.currentTimeMillis()));
        } else {
            tenure.refused(System.nanoTime());
        }
    }

    private void renewalAnswered(StoreAnswer answer) {
        switch (answer) {
            case StoreAnswer.LeaseGranted(long lease, long ttl) -> tenure.renewed(ttl);
            case StoreAnswer.Missing m -> tenure.refused(System.nanoTime());
            default -> tenure.unanswered(System.nanoTime());
        }
    }

    private void holderAnswered(StoreAnswer answer) {
        switch (answer) {
            case StoreAnswer.Written(long revision) -> tenure.holderWritten(revision);
            case StoreAnswer.Unknown u -> tenure.unanswered(System.nanoTime());
            default -> tenure.refused(System.nanoTime());
        }
    }

    private void perform(UsageStep step) {
        switch (step) {
            case UsageStep.Wait w -> {}
            case UsageStep.Record(Map<Long, Map<String, Long>> records) -> record(records);
            case UsageStep.Report(long window, Map<String, Long> counts) -> report(window, counts);
        }
    }

    private void record(Map<Long, Map<String, Long>> records) {
        usageStepOpen = true;
        Map<String, Long> conditions = new HashMap<>();
        conditions.put(OwnKeys.USAGE, usageRevision);
        // A holder that has been replaced without knowing it must not write.
        conditions.put(OwnKeys.DUTY, tenure.fencingToken());
        store.write(
                conditions,
                OwnKeys.USAGE,
                UsageRecord.encode(records),
                0,
                answer -> {
                    usageStepOpen = false;
                    if (answer instanceof StoreAnswer.Written(long revision)
                            && revision > usageRevision) {
                        usageRevision = revision;
                        reports.loadRecorded(records);
                    } else {
                        reports.retryLater(clusterMillis.getAsLong());
                    }
                });
    }

    private void report(long window, Map<String, Long> counts) {
        usageStepOpen = true;
        send(
                CloudCalls.usage(node, tenure.fencingToken(), window, counts),
                outcome -> {
                    usageStepOpen = false;
                    int status = outcome.status();
                    log.line("usage.reported")
                            .add("window", window)
                            .add("counts", new TreeMap<>(counts))
                            .add("fence", tenure.fencingToken())
                            .add("status", status)
                            .write();
                    if (status == CloudCalls.DONE) {
                        reports.confirm(window);
                    } else {
                        reports.retryLater(clusterMillis.getAsLong());
                        if (status == CloudCalls.CONFLICT) {
                            tenure.fencedOut(System.nanoTime());
                        }
                    }
                });
    }

    @Override
    public void send(HttpCall call, PlatformClient.Receiver receiver) {
        cloud.call(call, CLOUD_TIMEOUT_MILLIS, receiver);
    }

    /** Returns the number of calls made to the cloud API. */
    long cloudCalls() {
        return cloud.calls();
    }
}
