package org.carobdoor.node.gateway.forward;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.internal.deployment.Configuration;
import org.carobdoor.internal.duty.UsageCounts;
import org.carobdoor.internal.placement.EndpointLoad;
import org.carobdoor.internal.resume.StreamVersions;
import org.carobdoor.internal.retries.RetryBudgets;
import org.carobdoor.node.gateway.endpoint.EndpointTable;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.carobdoor.node.gateway.quarantine.RequestQuarantine;

/**
 * The state shared by all requests of a node: the configuration, the endpoints, the quotas and the
 * retry budgets. Confined to the event loop.
 */
public final class ForwardingState {
    /** A node that has just started normally reads its configuration well within this time. */
    private static final long CONFIGURATION_TIMEOUT_NANOS = 2_000_000_000L;

    private final EventLoop loop;
    private final long startedNanos = System.nanoTime();
    private final AvailabilityZone zone;
    private final EndpointTable endpoints;
    private final AccountQuotas accountQuotas;
    private final UsageCounts usage;
    private final DecisionLog log;
    private final RequestCounters counters = RequestCounters.create();
    private final RandomGenerator random;
    private final RetryBudgets retries;
    private final StreamVersions streams;
    private final RetryTally retryTally = new RetryTally();
    private final RequestQuarantine quarantine;
    private final Map<String, Double> workMillis = new HashMap<>();
    private VersionRouting versions = VersionRouting.create(Optional.empty());
    private Optional<Configuration> configuration = Optional.empty();
    private Runnable onReady = () -> {};
    private QuotaLoans quotaLoans = QuotaLoans.NONE;
    private LongSupplier newsAge = () -> 0;
    private StreamRecords streamRecords = StreamRecords.NONE;
    private BooleanSupplier directoryCurrent = () -> true;
    private BooleanSupplier storeLost = () -> true;
    private boolean configured;
    private boolean ready;

    /** Number of nodes that share quotas, retries and connections; zero while it is unknown. */
    private int nodeCount;

    private long clusterTimeMillis;
    private long clusterTimeSetAtNanos;

    /**
     * Creates the state of a node without a configuration.
     *
     * @param run identifies the process of the node
     * @param retries the retry budgets of the services
     * @param streams the versions of the streams that callers may take up again
     */
    public ForwardingState(
            String run,
            EventLoop loop,
            AvailabilityZone zone,
            EndpointTable endpoints,
            AccountQuotas accounts,
            UsageCounts usage,
            DecisionLog log,
            RandomGenerator random,
            RetryBudgets retries,
            StreamVersions streams) {
        this.loop = loop;
        this.zone = zone;
        this.endpoints = endpoints;
        this.accountQuotas = accounts;
        this.usage = usage;
        this.log = log;
        this.random = random;
        this.retries = retries;
        this.streams = streams;
        this.quarantine = RequestQuarantine.create(run, random, this::clusterMillis, log);
        this.clusterTimeMillis = System.currentTimeMillis();
        this.clusterTimeSetAtNanos = System.nanoTime();
    }

    /** Applies a configuration. */
    public void configure(Configuration newConfiguration, long nowNanos) {
        configuration = Optional.of(newConfiguration);
        accountQuotas.configure(newConfiguration, nowNanos);
        endpoints.configure(newConfiguration, nodeCount);
    }

    /** Sets how versions are rolled out; before, all versions are used alike. */
    public void setVersions(VersionRouting newVersions) {
        versions = newVersions;
    }

    /** Returns how requests are divided among versions. */
    public VersionRouting versions() {
        return versions;
    }

    /**
     * Returns the endpoints that may get a request.
     *
     * @param isNew whether the request goes to a version that is being rolled out
     */
    List<EndpointLoad> endpointsFor(String service, boolean isNew, long nowNanos) {
        List<EndpointLoad> accepting = endpoints.accepting(service, nowNanos);
        return versions.selector().allowed(service, isNew, accepting, nowNanos);
    }

    /** Marks the configuration and the endpoints as known. */
    public void setConfigured() {
        configured = true;
        becomeReadyIfComplete();
    }

    /**
     * Becomes ready only when the number of nodes is known, since without it this node could use up
     * a limit that it shares with others.
     */
    private void becomeReadyIfComplete() {
        if (!ready && configured && nodeCount > 0) {
            ready = true;
            onReady.run();
        }
    }

    /** Sets the task that runs once this node can take requests. */
    public void onReady(Runnable task) {
        onReady = task;
    }

    /** Returns whether the configuration, the endpoints and the number of nodes are known. */
    public boolean isReady() {
        return ready;
    }

    /**
     * Sets the number of nodes that share quotas, retry budgets and connections.
     *
     * @param complete whether all nodes are counted; the retry budgets are not divided before
     */
    public void setNodes(int count, boolean complete, long nowNanos) {
        retries.recordRunning(nowNanos);
        boolean shareRetries = complete && retries.nodes() != count;
        if (count == nodeCount && !shareRetries) {
            return;
        }
        nodeCount = count;
        accountQuotas.setNodes(count, nowNanos);
        if (shareRetries) {
            retries.setNodes(count, nowNanos);
        }
        log.line("nodes.counted")
                .add("nodes", count)
                .add(
                        "retries_per_window",
                        Math.round(retries.fixedRetriesPerWindow() * 100) / 100.0)
                .write();
        configuration.ifPresent(c -> endpoints.configure(c, count));
        becomeReadyIfComplete();
    }

    /** Sets the cluster time, on which most nodes agree. */
    public void setClock(long millis, long nowNanos) {
        clusterTimeMillis = millis;
        clusterTimeSetAtNanos = nowNanos;
    }

    /**
     * Returns whether the first configuration is overdue, in which case the store is presumably
     * unreachable.
     */
    boolean isConfigurationOverdue() {
        return System.nanoTime() - startedNanos > CONFIGURATION_TIMEOUT_NANOS;
    }

    /** Returns the request counters. */
    public RequestCounters counters() {
        return counters;
    }

    /** Returns the engine time of the requests since the start, in milliseconds by service. */
    public Map<String, Long> workMillis() {
        Map<String, Long> rounded = new HashMap<>();
        workMillis.forEach((s, ms) -> rounded.put(s, Math.round(ms)));
        return rounded;
    }

    /** Returns the configuration in force, if one is known. */
    public Optional<Configuration> configuration() {
        return configuration;
    }

    /** Returns the endpoints. */
    public EndpointTable endpoints() {
        return endpoints;
    }

    /** Returns the quotas. */
    public AccountQuotas accountQuotas() {
        return accountQuotas;
    }

    /** Sets where quota is borrowed from. */
    public void setQuotaLoans(QuotaLoans loans) {
        quotaLoans = loans;
    }

    QuotaLoans quotaLoans() {
        return quotaLoans;
    }

    /**
     * Sets the supplier of the time since the endpoints were last known to be current, in
     * milliseconds.
     */
    public void setNewsAge(LongSupplier millis) {
        newsAge = millis;
    }

    long newsAgeMillis() {
        return newsAge.getAsLong();
    }

    /** Returns the versions of the streams that callers may take up again. */
    public StreamVersions streams() {
        return streams;
    }

    /**
     * Sets where the streams of other nodes and earlier runs are recorded.
     *
     * @param current whether the endpoints are up to date
     * @param lost whether the store has not answered for a while
     */
    public void setStreamRecords(
            StreamRecords records, BooleanSupplier current, BooleanSupplier lost) {
        streamRecords = records;
        directoryCurrent = current;
        storeLost = lost;
    }

    StreamRecords streamRecords() {
        return streamRecords;
    }

    boolean isDirectoryCurrent() {
        return directoryCurrent.getAsBoolean();
    }

    boolean isStoreLost() {
        return storeLost.getAsBoolean();
    }

    /** Records the versions of the endpoints of all services. */
    public void recordVersions(long nowNanos) {
        configuration.ifPresent(c -> c.services().forEach(s -> recordVersions(s.name(), nowNanos)));
    }

    void recordVersions(String service, long nowNanos) {
        Set<String> listed =
                endpoints.ofService(service).stream()
                        .map(e -> e.entry().version())
                        .collect(Collectors.toSet());
        streams.recordListed(service, listed, nowNanos);
    }

    /** Returns this node's usage counts. */
    public UsageCounts usage() {
        return usage;
    }

    EventLoop loop() {
        return loop;
    }

    AvailabilityZone zone() {
        return zone;
    }

    DecisionLog log() {
        return log;
    }

    RandomGenerator random() {
        return random;
    }

    /** Returns the retry budgets of the services. */
    public RetryBudgets retries() {
        return retries;
    }

    /**
     * Takes a retry from the budget of a service, and returns whether one was left.
     *
     * @param cause why the previous attempt failed
     */
    boolean tryTakeRetry(String service, String cause) {
        boolean taken = retries.tryTake(service, System.nanoTime());
        retryTally.record(service, cause, taken);
        return taken;
    }

    /** Logs the retries that were granted and denied since the last call. */
    public void logRetries() {
        retryTally.writeSummary(retries, log, System.nanoTime());
    }

    /** Returns the requests that are not sent because they crash endpoints. */
    public RequestQuarantine quarantine() {
        return quarantine;
    }

    long clusterMillis() {
        return clusterMillis(System.nanoTime());
    }

    private long clusterMillis(long nowNanos) {
        return clusterTimeMillis + (nowNanos - clusterTimeSetAtNanos) / 1_000_000L;
    }

    void addEngineTime(String service, double millis) {
        workMillis.merge(service, millis, Double::sum);
    }

    void countUsage(String account, long nowNanos) {
        usage.recordStart(account, clusterMillis(nowNanos));
    }
}
