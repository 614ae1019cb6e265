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
import org.carobdoor.Failure;
import org.carobdoor.Result;
import org.carobdoor.internal.duty.ClusterUsage;
import org.carobdoor.internal.duty.DutyLease;
import org.carobdoor.internal.duty.DutyStep;
import org.carobdoor.internal.duty.RecordedUsage;
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
 * Runs the duties that one node performs for all: usage reports and scaling of the endpoints. Must
 * be used on the event loop.
 */
final class DutyRunner implements FleetAutoscaler.Sender {
    private static final long TICK_INTERVAL_MILLIS = 200;
    private static final long FLEET_TICK_INTERVAL_MILLIS = 500;

    /** Counts of at most this period are lost if all processes stop at once. */
    private static final long UNREPORTED_SAVE_INTERVAL_NANOS = 1_000_000_000L;

    /** Number of past windows that may be unreported: reports are due two windows after the end. */
    private static final int UNREPORTED_WINDOWS = 3;

    private static final long CLOUD_TIMEOUT_MILLIS = 1_500;
    private static final long MAX_CLOUD_REPLY_BYTES = 4L << 20;

    private final EventLoop loop;
    private final StoreClient store;
    private final PlatformClient cloudClient;
    private final DutyLease dutyLease;
    private final UsageReports reports;
    private final UsageCounts usageCounts;
    private final ClusterUsage usage;
    private final FleetAutoscaler autoscaler;
    private final GatewayBounds bounds;
    private final String node;
    private final String run;
    private final LongSupplier clusterMillis;
    private final BooleanSupplier allPeersReporting;
    private final DecisionLog log;
    private long usageRevision;
    private long unreportedSavedNanos;
    private boolean unreportedUsageLoaded;
    private boolean reportedUsageLoaded;

    /** The fencing token with which this node last wrote the record of reported usage. */
    private long recordedByFence;

    /** Whether this node knows all usage that was recorded in the former era of the store. */
    private boolean knowsFormerUsage;

    private boolean usageStepPending;
    private boolean wasHolder;
    private boolean eraKnown;

    DutyRunner(
            EventLoop loop,
            StoreClient store,
            InetSocketAddress cloudAddress,
            DutyLease dutyLease,
            ClusterUsage usage,
            ForwardingState state,
            GatewayBounds bounds,
            String node,
            String run,
            LongSupplier clusterMillis,
            BooleanSupplier allPeersReporting,
            DecisionLog log) {
        this.loop = loop;
        this.store = store;
        this.cloudClient = new PlatformClient(loop, cloudAddress, MAX_CLOUD_REPLY_BYTES, log);
        this.dutyLease = dutyLease;
        this.usageCounts = state.usage();
        this.reports = UsageReports.create(usageCounts);
        this.usage = usage;
        this.autoscaler = new FleetAutoscaler(state, this, node, log);
        this.bounds = bounds;
        this.node = node;
        this.run = run;
        this.clusterMillis = clusterMillis;
        this.allPeersReporting = allPeersReporting;
        this.log = log;
    }

    FleetAutoscaler autoscaler() {
        return autoscaler;
    }

    void start() {
        GuardedTask.repeat(loop, "duties", this::tick, TICK_INTERVAL_MILLIS, log);
        GuardedTask.repeat(
                loop,
                "fleet",
                () -> autoscaler.tick(bounds.scalesEndpoints() && isHolder(), run),
                FLEET_TICK_INTERVAL_MILLIS,
                log);
    }

    /** Releases the duties, so that another node need not wait for the lease to expire. */
    void stop() {
        OptionalLong lease = dutyLease.release(System.nanoTime());
        lease.ifPresent(this::revokeLease);
    }

    private void revokeLease(long lease) {
        // Retried until the store replies; otherwise the next holder waits for the lease to expire.
        store.revokeLease(
                lease,
                replied -> {
                    if (!replied) {
                        loop.schedule(
                                () -> revokeLease(lease),
                                TICK_INTERVAL_MILLIS,
                                TimeUnit.MILLISECONDS);
                    }
                });
    }

    /** Returns whether this node holds the duties now. */
    boolean isHolder() {
        return dutyLease.isHolder(System.nanoTime(), System.currentTimeMillis());
    }

    @Override
    public long fencingToken() {
        return dutyLease.fencingToken();
    }

    /** Drops the duties, since the store is in a new era, until they are taken in that era. */
    void eraBegan(long era) {
        long now = System.nanoTime();
        knowsFormerUsage = isHolder() && recordedByFence == dutyLease.fencingToken();
        reportedUsageLoaded = false;
        dutyLease.eraBegan(era, bounds.dutyLease().toMillis(), now);
    }

    /** Processes a written key of the duties. */
    void keyWritten(StoreItem item) {
        if (item.key().equals(NodeStoreKeys.DUTY_HOLDER)) {
            dutyLease.keyWritten(
                    item.value().toUtf8(),
                    item.revision(),
                    System.nanoTime(),
                    System.currentTimeMillis());
        } else if (item.key().equals(NodeStoreKeys.REPORTED_USAGE)
                && item.revision() > usageRevision) {
            usageRevision = item.revision();
            loadReportedUsage(item);
        }
    }

    private void loadReportedUsage(StoreItem item) {
        switch (UsageRecord.decode(item.value())) {
            case Result.Ok<RecordedUsage>(RecordedUsage record) -> {
                loadReportedUsage(record);
            }
            case Result.Err<RecordedUsage>(Failure f) -> {
                // Windows that may have been reported must not be reported with other counts.
                reportedUsageLoaded = false;
                logUnreadable(f);
            }
        }
    }

    private void loadReportedUsage(RecordedUsage record) {
        reportedUsageLoaded = true;
        if (record.era() < store.era()) {
            log.line("usage.record_behind")
                    .add("record_era", record.era())
                    .add("windows", record.windows().keySet())
                    .add("all_known", knowsFormerUsage)
                    .write();
            reports.mergeFormer(record, knowsFormerUsage, clusterMillis.getAsLong());
        } else {
            reports.loadRecorded(record);
        }
    }

    private void logUnreadable(Failure f) {
        log.line("usage.record_unreadable").add("failure", '"' + f.toString() + '"').write();
    }

    /** Processes that a key does not exist at {@code revision}. */
    void keyMissing(String key, long revision) {
        if (key.equals(NodeStoreKeys.DUTY_HOLDER)) {
            dutyLease.keyMissing(revision, System.nanoTime());
        } else if (key.equals(NodeStoreKeys.REPORTED_USAGE)) {
            if (revision > usageRevision) {
                // The next write must expect that the key does not exist.
                usageRevision = 0;
            }
            if (store.era() == 0) {
                reportedUsageLoaded = true;
            } else if (!reportedUsageLoaded) {
                loadReportedUsage(RecordedUsage.of(Map.of()));
            }
        }
    }

    private void tick() {
        if (!eraKnown && store.era() > 0) {
            eraKnown = true;
            dutyLease.eraKnown(store.era());
        }
        execute(dutyLease.next(System.nanoTime(), System.currentTimeMillis()));
        boolean holder = isHolder();
        if (holder != wasHolder) {
            wasHolder = holder;
            log.line(holder ? "duty.taken" : "duty.lost")
                    .add("fence", dutyLease.fencingToken())
                    .write();
            if (holder) {
                loadUnreportedUsage();
            }
        }
        if (holder
                && bounds.reportsUsage()
                && System.nanoTime() - unreportedSavedNanos > UNREPORTED_SAVE_INTERVAL_NANOS) {
            saveUnreportedUsage();
        }
        if (holder
                && bounds.reportsUsage()
                && reportedUsageLoaded
                && unreportedUsageLoaded
                && !usageStepPending) {
            execute(
                    reports.next(
                            usage, allPeersReporting.getAsBoolean(), clusterMillis.getAsLong()));
        }
    }

    /** Loads the counts that an earlier holder saved; nodes that counted them may have stopped. */
    private void loadUnreportedUsage() {
        unreportedUsageLoaded = false;
        store.range(
                NodeStoreKeys.UNREPORTED_USAGE,
                "",
                answer -> {
                    if (answer instanceof StoreAnswer.Page page) {
                        unreportedUsageLoaded = true;
                        page.items().forEach(i -> addUnreportedUsage(i.value()));
                    } else if (isHolder()) {
                        loop.schedule(
                                this::loadUnreportedUsage,
                                TICK_INTERVAL_MILLIS,
                                TimeUnit.MILLISECONDS);
                    }
                });
    }

    private void addUnreportedUsage(Bytes value) {
        switch (UsageRecord.decodeUnreported(value)) {
            case Result.Ok<ClusterUsage>(ClusterUsage saved) -> usage.addAll(saved);
            case Result.Err<ClusterUsage>(Failure f) -> logUnreadable(f);
        }
    }

    /** Saves the counts of the recent windows, so that they survive a stop of all processes. */
    private void saveUnreportedUsage() {
        if (!unreportedUsageLoaded) {
            return;
        }
        unreportedSavedNanos = System.nanoTime();
        long first = usageCounts.windowAt(clusterMillis.getAsLong()) - UNREPORTED_WINDOWS;
        Map<Long, Map<String, Map<String, Long>>> windows = usage.since(first);
        if (windows.isEmpty()) {
            return;
        }
        // A failed save is not retried, since the next one replaces it.
        store.write(
                Map.of(NodeStoreKeys.DUTY_HOLDER, dutyLease.fencingToken()),
                NodeStoreKeys.UNREPORTED_USAGE,
                UsageRecord.encodeUnreported(windows),
                0,
                answer -> {});
    }

    private void execute(DutyStep step) {
        switch (step) {
            case DutyStep.Wait w -> {}
            case DutyStep.TakeLease t ->
                    store.acquireLease(bounds.dutyLease().toMillis(), this::handleLeaseReply);
            case DutyStep.Renew(long lease) -> store.renewLease(lease, this::handleRenewalReply);
            case DutyStep.WriteHolder(long lease, String token, long expected) ->
                    store.write(
                            Map.of(NodeStoreKeys.DUTY_HOLDER, expected),
                            NodeStoreKeys.DUTY_HOLDER,
                            Bytes.utf8(token),
                            lease,
                            this::handleHolderWriteReply);
        }
    }

    private void handleLeaseReply(StoreAnswer answer) {
        if (answer instanceof StoreAnswer.LeaseGranted(long lease, long ttl)) {
            dutyLease.leaseTaken(lease, ttl);
            execute(dutyLease.next(System.nanoTime(), System.currentTimeMillis()));
        } else {
            dutyLease.refused(System.nanoTime());
        }
    }

    private void handleRenewalReply(StoreAnswer answer) {
        switch (answer) {
            case StoreAnswer.LeaseGranted(long lease, long ttl) -> dutyLease.renewed(ttl);
            case StoreAnswer.Missing m -> dutyLease.refused(System.nanoTime());
            default -> dutyLease.unanswered(System.nanoTime());
        }
    }

    private void handleHolderWriteReply(StoreAnswer answer) {
        switch (answer) {
            case StoreAnswer.Written(long revision) -> dutyLease.holderWritten(revision);
            case StoreAnswer.Unknown u -> dutyLease.unanswered(System.nanoTime());
            default -> dutyLease.refused(System.nanoTime());
        }
    }

    private void execute(UsageStep step) {
        switch (step) {
            case UsageStep.Wait w -> {}
            case UsageStep.Record(Map<Long, Map<String, Long>> records) -> storeUsage(records);
            case UsageStep.Report(long window, Map<String, Long> counts) ->
                    reportUsage(window, counts);
        }
    }

    private void storeUsage(Map<Long, Map<String, Long>> records) {
        usageStepPending = true;
        Map<String, Long> conditions = new HashMap<>();
        conditions.put(NodeStoreKeys.REPORTED_USAGE, usageRevision);
        // Prevents writes of a holder that has been replaced without noticing.
        conditions.put(NodeStoreKeys.DUTY_HOLDER, dutyLease.fencingToken());
        store.write(
                conditions,
                NodeStoreKeys.REPORTED_USAGE,
                UsageRecord.encode(records, store.era()),
                0,
                answer -> {
                    usageStepPending = false;
                    if (answer instanceof StoreAnswer.Written(long revision)
                            && revision > usageRevision) {
                        usageRevision = revision;
                        recordedByFence = dutyLease.fencingToken();
                        reports.loadRecorded(RecordedUsage.of(records, store.era()));
                    } else {
                        reports.retryLater(clusterMillis.getAsLong());
                    }
                });
    }

    private void reportUsage(long window, Map<String, Long> counts) {
        usageStepPending = true;
        long fence = dutyLease.fencingToken();
        send(
                CloudCalls.reportUsage(node, fence, window, counts),
                outcome -> {
                    usageStepPending = false;
                    int status = outcome.status();
                    log.line("usage.reported")
                            .add("window", window)
                            .add("counts", new TreeMap<>(counts))
                            .add("fence", fence)
                            .add("status", status)
                            .write();
                    if (status == CloudCalls.STATUS_OK) {
                        reports.confirm(window);
                    } else {
                        reports.retryLater(clusterMillis.getAsLong());
                        if (status == CloudCalls.STATUS_CONFLICT
                                && fence == dutyLease.fencingToken()) {
                            dutyLease.fencedOut(System.nanoTime());
                        }
                    }
                });
    }

    @Override
    public void send(HttpCall call, PlatformClient.Callback callback) {
        cloudClient.call(call, CLOUD_TIMEOUT_MILLIS, callback);
    }

    /** Returns the number of calls to the cloud API since the start. */
    long cloudCallCount() {
        return cloudClient.callCount();
    }
}
