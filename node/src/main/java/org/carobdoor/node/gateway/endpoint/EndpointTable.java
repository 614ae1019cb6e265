package org.carobdoor.node.gateway.endpoint;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.deployment.Configuration;
import org.carobdoor.internal.deployment.EngineTraits;
import org.carobdoor.internal.deployment.Service;
import org.carobdoor.internal.directory.DirectoryListener;
import org.carobdoor.internal.directory.EndpointEntry;
import org.carobdoor.internal.placement.EndpointLoad;
import org.carobdoor.message.EndpointUse;
import org.carobdoor.node.gateway.log.DecisionLog;

/**
 * The endpoints of the directory with their load and connections, by service. Belongs to the event
 * loop.
 */
public final class EndpointTable implements DirectoryListener {
    /** Connections to one endpoint until the configuration tells how many it accepts. */
    private static final int DEFAULT_MAX_CONNECTIONS = 64;

    /** Share of the connections that an endpoint accepts which the nodes use together. */
    private static final double CONNECTION_SHARE = 0.9;

    private static final int MIN_CONNECTIONS = 4;

    /** Of more endpoints than this share, ejections are taken for a fault of this node. */
    private static final double MAX_EJECTED_SHARE = 0.5;

    private final Map<EndpointId, Endpoint> byId = new HashMap<>();
    private final Map<String, List<EndpointLoad>> byService = new HashMap<>();
    private final Map<String, Map<EndpointId, EndpointUse>> othersUse = new HashMap<>();
    private final AnswerSpace answerSpace = AnswerSpace.create();
    private final EventLoop loop;
    private final DecisionLog log;
    private Optional<Configuration> configuration = Optional.empty();
    private int nodes = 1;
    private Set<AvailabilityZone> silentZones = Set.of();
    private long connectionsOpened;

    private EndpointTable(EventLoop loop, DecisionLog log) {
        this.loop = loop;
        this.log = log;
    }

    /** Returns an empty table. */
    public static EndpointTable create(EventLoop loop, DecisionLog log) {
        return new EndpointTable(loop, log);
    }

    /** Returns the endpoint {@code id}, if it is in the directory. */
    public Optional<Endpoint> find(EndpointId id) {
        return Optional.ofNullable(byId.get(id));
    }

    /** Returns the endpoints of {@code service}, accepting or not. */
    public List<EndpointLoad> ofService(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /**
     * Sets the zones whose nodes are not heard, and whose endpoints are likely out of reach too.
     */
    public void setUnreachableZones(Set<AvailabilityZone> zones) {
        silentZones = Set.copyOf(zones);
    }

    /**
     * Returns the endpoints of {@code service} that may get new requests. Left out are endpoints
     * that could not be reached and those of zones that are cut off, unless there are no others,
     * and ejected ones, unless most are ejected.
     */
    public List<EndpointLoad> accepting(String service, long nowNanos) {
        List<EndpointLoad> accepting =
                ofService(service).stream().filter(e -> e.entry().accepting()).toList();
        List<EndpointLoad> connected = orAll(accepting, e -> !e.health().isUnreachable(nowNanos));
        List<EndpointLoad> near = orAll(connected, e -> !silentZones.contains(e.entry().zone()));
        List<EndpointLoad> healthy =
                near.stream().filter(e -> !e.health().isEjected(nowNanos)).toList();
        boolean fewEjected = healthy.size() >= near.size() * (1 - MAX_EJECTED_SHARE);
        return fewEjected ? healthy : near;
    }

    private static List<EndpointLoad> orAll(
            List<EndpointLoad> all, Predicate<EndpointLoad> preferred) {
        List<EndpointLoad> some = all.stream().filter(preferred).toList();
        return some.isEmpty() ? all : some;
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

    /** Returns the bytes of answers that are held, since no caller has got them yet. */
    public long bufferedResponseBytes() {
        return answerSpace.held();
    }

    /** Applies a configuration and the number of nodes, which bound the connections. */
    public void configure(Configuration newConfiguration, int nodeCount) {
        configuration = Optional.of(newConfiguration);
        nodes = Math.max(1, nodeCount);
        for (Endpoint e : byId.values()) {
            e.setMaxConnections(maxConnections(e.load().entry().service()));
        }
    }

    /** Replaces the work that a run of another node has at the endpoints. */
    public void setRemoteUse(String run, List<EndpointUse> uses) {
        removeRemoteUse(run);
        Map<EndpointId, EndpointUse> byEndpoint = new HashMap<>();
        uses.forEach(u -> byEndpoint.put(new EndpointId(u.endpoint()), u));
        othersUse.put(run, byEndpoint);
        byEndpoint.forEach((id, u) -> addOthers(id, u.running(), u.unreadTokens()));
    }

    /** Forgets the work of a node that is gone. */
    public void removeRemoteUse(String run) {
        Map<EndpointId, EndpointUse> before = othersUse.remove(run);
        if (before != null) {
            before.forEach((id, u) -> addOthers(id, -u.running(), -u.unreadTokens()));
        }
    }

    private void addOthers(EndpointId id, int running, long unread) {
        find(id).ifPresent(e -> e.load().addOthers(running, unread));
    }

    /** Returns the work that this node has at the endpoints. */
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
        byId.values().forEach(e -> e.connections().sweep(nowNanos));
    }

    @Override
    public void started(EndpointEntry entry) {
        Endpoint e =
                new Endpoint(
                        loop,
                        entry,
                        memoryTokens(entry.service()),
                        maxConnections(entry.service()),
                        answerSpace,
                        () -> connectionsOpened++);
        byId.put(entry.id(), e);
        // Other nodes may have been told of the endpoint first.
        for (Map<EndpointId, EndpointUse> uses : othersUse.values()) {
            EndpointUse u = uses.get(entry.id());
            if (u != null) {
                e.load().addOthers(u.running(), u.unreadTokens());
            }
        }
        byService.computeIfAbsent(entry.service(), s -> new ArrayList<>()).add(e.load());
        log.line("endpoint.listed")
                .add("endpoint", entry.id())
                .add("service", entry.service())
                .add("zone", entry.zone())
                .add("accepting", entry.accepting())
                .write();
    }

    @Override
    public void changed(EndpointEntry before, EndpointEntry after) {
        Endpoint e = byId.get(after.id());
        if (e == null) {
            return;
        }
        if (!before.service().equals(after.service())
                || !before.address().equals(after.address())) {
            removed(before);
            started(after);
            return;
        }
        e.load().update(after);
        if (before.accepting() != after.accepting()) {
            log.line("endpoint.changed")
                    .add("endpoint", after.id())
                    .add("accepting", after.accepting())
                    .add("leaves_ms", after.leavesInMillis().orElse(-1))
                    .write();
        }
    }

    @Override
    public void removed(EndpointEntry last) {
        Endpoint e = byId.remove(last.id());
        if (e != null) {
            byService.getOrDefault(last.service(), new ArrayList<>()).remove(e.load());
            e.close();
            log.line("endpoint.unlisted").add("endpoint", last.id()).write();
        }
    }

    private long memoryTokens(String service) {
        return service(service).flatMap(Service::engine).map(EngineTraits::memoryTokens).orElse(0L);
    }

    private int maxConnections(String service) {
        int all = service(service).map(Service::maxConnections).orElse(0);
        if (all <= 0) {
            return DEFAULT_MAX_CONNECTIONS;
        }
        return Math.max(MIN_CONNECTIONS, (int) (all * CONNECTION_SHARE / nodes));
    }

    private Optional<Service> service(String name) {
        return configuration.flatMap(c -> c.service(name));
    }
}
