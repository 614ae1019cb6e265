package org.carobdoor.node.gateway.forward;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.internal.deployment.Configuration;
import org.carobdoor.internal.duty.UsageCounts;
import org.carobdoor.internal.retries.RetryBudgets;
import org.carobdoor.node.gateway.endpoint.EndpointTable;
import org.carobdoor.node.gateway.log.DecisionLog;

/**
 * What the requests of a node share: the configuration, the endpoints, the quotas and the budgets.
 * Belongs to the event loop.
 */
public final class ForwardingState {
    /** A node that has just started reads its configuration well within this time. */
    private static final long CONFIGURATION_DUE_NANOS = 2_000_000_000L;

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
    private final Map<String, Double> workMillis = new HashMap<>();
    private Optional<Configuration> configuration = Optional.empty();
    private Runnable onReady = () -> {};
    private boolean configured;
    private boolean ready;

    /** The nodes that share quotas, retries and connections; zero until they have been counted. */
    private int nodes;

    private long clockMillis;
    private long clockAtNanos;

    /**
     * Creates the state of a node without a configuration.
     *
     * @param retries the retry budgets of the services
     */
    public ForwardingState(
            EventLoop loop,
            AvailabilityZone zone,
            EndpointTable endpoints,
            AccountQuotas accounts,
            UsageCounts usage,
            DecisionLog log,
            RandomGenerator random,
            RetryBudgets retries) {
        this.loop = loop;
        this.zone = zone;
        this.endpoints = endpoints;
        this.accountQuotas = accounts;
        this.usage = usage;
        this.log = log;
        this.random = random;
        this.retries = retries;
        this.clockMillis = System.currentTimeMillis();
        this.clockAtNanos = System.nanoTime();
    }

    /** Applies a configuration. */
    public void configure(Configuration newConfiguration, long nowNanos) {
        configuration = Optional.of(newConfiguration);
        accountQuotas.configure(newConfiguration, nowNanos);
        endpoints.configure(newConfiguration, nodes);
    }

    /** Notes that the configuration and the endpoints are known. */
    public void setConfigured() {
        configured = true;
        becomeReady();
    }

    /** A node that does not know how many share a limit could spend all of it. */
    private void becomeReady() {
        if (!ready && configured && nodes > 0) {
            ready = true;
            onReady.run();
        }
    }

    /** Sets what runs once this node may take requests. */
    public void onReady(Runnable task) {
        onReady = task;
    }

    /** Returns whether the configuration, the endpoints and the number of nodes are known. */
    public boolean isReady() {
        return ready;
    }

    /** Sets the number of nodes that share quotas, budgets and connections. */
    public void setNodes(int count, long nowNanos) {
        if (count == nodes) {
            return;
        }
        nodes = count;
        accountQuotas.setNodes(count, nowNanos);
        retries.setNodes(count, nowNanos);
        log.line("nodes.counted")
                .add("nodes", count)
                .add("retries_per_window", Math.round(retries.fixedPart() * 100) / 100.0)
                .write();
        configuration.ifPresent(c -> endpoints.configure(c, count));
        becomeReady();
    }

    /** Sets the time that most nodes agree on. */
    public void setClock(long millis, long nowNanos) {
        clockMillis = millis;
        clockAtNanos = nowNanos;
    }

    /** Returns whether a configuration should have come by now: the store must be away. */
    boolean isConfigurationOverdue() {
        return System.nanoTime() - startedNanos > CONFIGURATION_DUE_NANOS;
    }

    /** Returns the counters of the requests. */
    public RequestCounters counters() {
        return counters;
    }

    /** Returns the engine time of the requests sent since the start, by service. */
    public Map<String, Long> workMillis() {
        Map<String, Long> whole = new HashMap<>();
        workMillis.forEach((s, ms) -> whole.put(s, Math.round(ms)));
        return whole;
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

    void addWork(String service, double millis) {
        workMillis.merge(service, millis, Double::sum);
    }

    void countUsage(String account, long nowNanos) {
        usage.began(account, clockMillis + (nowNanos - clockAtNanos) / 1_000_000L);
    }
}
