package org.carobdoor.node.gateway.endpoint;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.deployment.Configuration;
import org.carobdoor.internal.deployment.EngineTraits;
import org.carobdoor.internal.deployment.Service;
import org.carobdoor.internal.directory.DirectoryListener;
import org.carobdoor.internal.directory.EndpointEntry;
import org.carobdoor.internal.directory.EndpointNews;
import org.carobdoor.internal.placement.EndpointLoad;
import org.carobdoor.message.EndpointUse;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.carobdoor.node.gateway.net.ResponseBufferLimit;

/**
 * The endpoints of the directory with their load and connections, by service. Confined to the event
 * loop.
 */
public final class EndpointTable implements DirectoryListener {
    /**
     * One fifth of the heap of the deployed daemon; direct buffers may use as much memory as the
     * heap. A single response may hold 6.4 MB, more than a request.
     */
    private static final long MAX_RESPONSE_BYTES = 32L << 20;

    /** Maximum connections to one endpoint until the configuration states how many it accepts. */
    private static final int DEFAULT_MAX_CONNECTIONS = 64;

    /** Fraction of the connections accepted by an endpoint that all nodes together may use. */
    private static final double USABLE_CONNECTION_FRACTION = 0.9;

    private static final int MIN_CONNECTIONS = 4;

    /**
     * If more than this fraction of the endpoints is ejected, the cause is assumed to be this node,
     * and ejections are ignored.
     */
    private static final double MAX_EJECTED_FRACTION = 0.5;

    private final Map<EndpointId, Endpoint> byId = new HashMap<>();
    private final Map<String, List<EndpointLoad>> byService = new HashMap<>();
    private final Map<String, Map<EndpointId, EndpointUse>> remoteUse = new HashMap<>();
    private final ResponseBufferLimit bufferLimit = ResponseBufferLimit.create(MAX_RESPONSE_BYTES);
    private final EventLoop loop;
    private final EndpointNewsLog news;
    private final UnexpectedAnswers unexpectedAnswers;
    private final LearnedCapacities capacities;
    private Optional<Configuration> configuration = Optional.empty();
    private int nodeCount = 1;
    private Set<AvailabilityZone> unreachableZones = Set.of();
    private Consumer<EndpointEntry> leavingListener = entry -> {};
    private long connectionsOpened;

    private EndpointTable(EventLoop loop, DecisionLog log) {
        this.loop = loop;
        this.news = new EndpointNewsLog(log);
        this.unexpectedAnswers = new UnexpectedAnswers(log);
        this.capacities = new LearnedCapacities(log);
    }

    /** Returns an empty table. */
    public static EndpointTable create(EventLoop loop, DecisionLog log) {
        return new EndpointTable(loop, log);
    }

    /**
     * Sets the receiver of the entries of endpoints that say in an answer that they are leaving.
     */
    public void onLeaving(Consumer<EndpointEntry> newListener) {
        leavingListener = newListener;
    }

    /** Returns the endpoint {@code id}, if it is in the directory. */
    public Optional<Endpoint> find(EndpointId id) {
        return Optional.ofNullable(byId.get(id));
    }

    /** Returns all endpoints of {@code service}, whether or not they accept requests. */
    public List<EndpointLoad> ofService(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /**
     * Sets the zones from whose nodes no messages arrive. Their endpoints are probably unreachable
     * too.
     */
    public void setUnreachableZones(Set<AvailabilityZone> zones) {
        unreachableZones = Set.copyOf(zones);
    }

    /**
     * Returns the endpoints of {@code service} that may get new requests. Excludes endpoints that
     * could not be reached and those in unreachable zones, unless there are no others, and ejected
     * endpoints, unless most are ejected.
     */
    public List<EndpointLoad> accepting(String service, long nowNanos) {
        return accepting(service, e -> true, nowNanos);
    }

    /** As {@link #accepting(String, long)}, among the endpoints that match {@code filter}. */
    public List<EndpointLoad> accepting(
            String service, Predicate<EndpointLoad> filter, long nowNanos) {
        List<EndpointLoad> accepting =
                ofService(service).stream()
                        .filter(e -> e.entry().accepting() && filter.test(e))
                        .toList();
        List<EndpointLoad> connectable =
                preferredOrAll(accepting, e -> !e.health().isUnreachable(nowNanos));
        List<EndpointLoad> inReachableZones =
                preferredOrAll(connectable, e -> !unreachableZones.contains(e.entry().zone()));
        List<EndpointLoad> healthy =
                inReachableZones.stream().filter(e -> !e.health().isEjected(nowNanos)).toList();
        boolean fewEjected = healthy.size() >= inReachableZones.size() * (1 - MAX_EJECTED_FRACTION);
        return fewEjected ? healthy : inReachableZones;
    }

    private static List<EndpointLoad> preferredOrAll(
            List<EndpointLoad> all, Predicate<EndpointLoad> preferred) {
        List<EndpointLoad> matching = all.stream().filter(preferred).toList();
        return matching.isEmpty() ? all : matching;
    }

    /** Returns the mean failure rate of the endpoints of {@code service}. */
    public double failureRate(String service) {
        return ofService(service).stream()
                .mapToDouble(e -> e.health().failureRate())
                .average()
                .orElse(0);
    }

    /** Returns how many connections to endpoints were opened since the start. */
    public long connectionsOpened() {
        return connectionsOpened;
    }

    /** Returns the answers of all endpoints that were not passed on. */
    public UnexpectedAnswers unexpectedAnswers() {
        return unexpectedAnswers;
    }

    /** Returns what this node has learned of endpoints, for the metrics. */
    public EndpointNewsLog news() {
        return news;
    }

    /** Returns what the nodes have learned of the endpoints. */
    public LearnedCapacities capacities() {
        return capacities;
    }

    /** Returns the response bytes that are buffered because no caller has received them yet. */
    public long bufferedResponseBytes() {
        return bufferLimit.heldBytes();
    }

    /** Applies a configuration and the number of nodes, which limit the connections. */
    public void configure(Configuration newConfiguration, int count) {
        configuration = Optional.of(newConfiguration);
        nodeCount = Math.max(1, count);
        capacities.setNodes(nodeCount);
        for (Endpoint e : byId.values()) {
            e.setMaxConnections(maxConnections(e.load().entry().service()));
        }
    }

    /**
     * Applies the load that another node has reported for the endpoints.
     *
     * @param run identifies the process of that node
     * @param complete whether the node has no load on other endpoints
     */
    public void setRemoteUse(String run, List<EndpointUse> uses, boolean complete) {
        if (complete) {
            removeRemoteUse(run);
        }
        Map<EndpointId, EndpointUse> byEndpoint =
                remoteUse.computeIfAbsent(run, r -> new HashMap<>());
        for (EndpointUse u : uses) {
            EndpointId id = new EndpointId(u.endpoint());
            EndpointUse previous = u.running() == 0 ? byEndpoint.remove(id) : byEndpoint.put(id, u);
            if (previous != null) {
                addRemoteLoad(id, -previous.running(), -previous.unreadTokens());
            }
            if (u.running() != 0) {
                addRemoteLoad(id, u.running(), u.unreadTokens());
            }
        }
    }

    /** Removes what a node that has left reported. */
    public void removeSender(String run) {
        removeRemoteUse(run);
        capacities.removeSender(run);
    }

    /** Removes the load reported by a node that has left. */
    public void removeRemoteUse(String run) {
        Map<EndpointId, EndpointUse> previous = remoteUse.remove(run);
        if (previous != null) {
            previous.forEach((id, u) -> addRemoteLoad(id, -u.running(), -u.unreadTokens()));
        }
    }

    private void addRemoteLoad(EndpointId id, int running, long unread) {
        find(id).ifPresent(e -> e.load().addRemoteWork(running, unread));
    }

    /** Returns the load of this node on the endpoints. */
    public List<EndpointUse> ownUse() {
        List<EndpointUse> uses = new ArrayList<>();
        for (Endpoint e : byId.values()) {
            EndpointLoad l = e.load();
            if (l.running() > 0) {
                uses.add(new EndpointUse(l.entry().id().value(), l.running(), l.unreadTokens()));
            }
        }
        return uses;
    }

    /** Closes connections that have been idle for too long. */
    public void closeIdleConnections(long nowNanos) {
        byId.values().forEach(e -> e.connections().closeExpired(nowNanos));
    }

    @Override
    public void started(EndpointEntry entry, EndpointNews evidence) {
        Endpoint e =
                new Endpoint(
                        loop,
                        entry,
                        evidence,
                        memoryTokens(entry.service()),
                        maxConnections(entry.service()),
                        bufferLimit,
                        saidBy -> leavingListener.accept(saidBy),
                        () -> connectionsOpened++,
                        unexpectedAnswers.listener(entry.id()));
        byId.put(entry.id(), e);
        capacities.put(e);
        e.connections().onConnected(n -> capacities.recordConnected(entry.zone(), n));
        // Other nodes may have learned of the endpoint earlier and reported load on it.
        for (Map<EndpointId, EndpointUse> uses : remoteUse.values()) {
            EndpointUse u = uses.get(entry.id());
            if (u != null) {
                e.load().addRemoteWork(u.running(), u.unreadTokens());
            }
        }
        byService.computeIfAbsent(entry.service(), s -> new ArrayList<>()).add(e.load());
        news.listed(entry, evidence);
    }

    @Override
    public void changed(EndpointEntry before, EndpointEntry after, EndpointNews evidence) {
        Endpoint e = byId.get(after.id());
        if (e == null) {
            return;
        }
        if (!before.service().equals(after.service())
                || !before.address().equals(after.address())) {
            removed(before, evidence);
            started(after, evidence);
            return;
        }
        e.update(after, evidence);
        capacities.put(e);
        news.changed(before, after, evidence);
    }

    @Override
    public void removed(EndpointEntry last, EndpointNews evidence) {
        Endpoint e = byId.remove(last.id());
        if (e != null) {
            capacities.remove(last.id().value());
            byService.getOrDefault(last.service(), new ArrayList<>()).remove(e.load());
            e.remove(evidence);
            news.unlisted(last, evidence);
        }
    }

    private long memoryTokens(String service) {
        return service(service)
                .flatMap(Service::engine)
                .map(EngineTraits::kvCacheTokens)
                .orElse(0L);
    }

    private int maxConnections(String service) {
        int acceptedConnections = service(service).map(Service::maxConnections).orElse(0);
        if (acceptedConnections <= 0) {
            return DEFAULT_MAX_CONNECTIONS;
        }
        return Math.max(
                MIN_CONNECTIONS,
                (int) (acceptedConnections * USABLE_CONNECTION_FRACTION / nodeCount));
    }

    private Optional<Service> service(String name) {
        return configuration.flatMap(c -> c.service(name));
    }
}
