package org.carobdoor.node;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.jooby.Jooby;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HexFormat;
import org.carobdoor.NodeId;
import org.carobdoor.Result;
import org.carobdoor.clients.catalogue.CatalogueStore;
import org.carobdoor.internal.MonotonicInstantSource;
import org.carobdoor.node.http.AdminRoutes;
import org.carobdoor.node.http.AsyncRequestRoutes;
import org.carobdoor.node.http.Authenticator;
import org.carobdoor.node.http.HealthRoutes;
import org.carobdoor.node.http.HttpServer;
import org.carobdoor.node.http.ModelRoutes;
import org.carobdoor.node.http.RequestPreconditions;
import org.carobdoor.node.http.ServiceRoutes;
import org.carobdoor.node.http.StatusReport;
import org.carobdoor.node.metrics.NodeMetrics;
import org.carobdoor.node.model.ModelRequestParser;
import org.carobdoor.node.settings.NodeSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One running daemon.
 *
 * <pre>{@code
 * try (Node node = Node.start(settings).orElseThrow()) {
 *     node.stopGracefully();
 * }
 * }</pre>
 */
public final class Node implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Node.class);
    private static final int ID_BYTES = 5;
    private static final Duration DRAIN_POLL = Duration.ofMillis(20);
    private static final Duration RECLAIM_POLL = Duration.ofMillis(100);

    /** How long before the reclaim open streams are handed over to their copy holders. */
    private static final Duration STREAM_HANDOVER = Duration.ofSeconds(2);

    private final NodeSettings settings;
    private final InstantSource clock;
    private final NodeMetrics metrics;
    private final Cluster cluster;
    private final Serving serving;
    private final RequestPreconditions guard;
    private final HttpServer http;
    private volatile boolean closed;

    private Node(
            NodeSettings settings,
            InstantSource clock,
            NodeMetrics metrics,
            Cluster cluster,
            Serving serving,
            RequestPreconditions guard,
            HttpServer http) {
        this.settings = settings;
        this.clock = clock;
        this.metrics = metrics;
        this.cluster = cluster;
        this.serving = serving;
        this.guard = guard;
        this.http = http;
    }

    /** Starts a daemon; a failure names the address that cannot be bound. */
    public static Result<Node> start(NodeSettings settings) {
        InstantSource clock = MonotonicInstantSource.start();
        SecureRandom random = new SecureRandom();
        NodeMetrics metrics = NodeMetrics.create();
        byte[] unique = new byte[ID_BYTES];
        random.nextBytes(unique);
        // A restarted daemon is a new node: it remembers nothing of what it was before.
        NodeId id = new NodeId(settings.name() + "-" + HexFormat.of().formatHex(unique));
        return switch (Cluster.start(id, settings, metrics, clock, random)) {
            case Result.Err<Cluster>(var failure) -> Result.err(failure);
            case Result.Ok<Cluster>(var cluster) ->
                    startServing(settings, cluster, metrics, clock, random);
        };
    }

    private static Result<Node> startServing(
            NodeSettings settings,
            Cluster cluster,
            NodeMetrics metrics,
            InstantSource clock,
            SecureRandom random) {
        Serving serving = Serving.start(settings, cluster, metrics, clock, random);
        Authenticator authenticator =
                new Authenticator(settings.accounts(), settings.operatorKeys());
        RequestPreconditions guard =
                new RequestPreconditions(
                        authenticator, cluster.catalogue(), clock, settings.requests().timeout());
        Result<HttpServer> http =
                HttpServer.start(
                        settings.http(),
                        settings.requests().maxBodyBytes(),
                        metrics,
                        app ->
                                install(
                                        app,
                                        settings,
                                        cluster,
                                        serving,
                                        authenticator,
                                        guard,
                                        metrics,
                                        clock,
                                        random));
        return switch (http) {
            case Result.Err<HttpServer>(var failure) -> {
                serving.close();
                cluster.close();
                yield Result.err(failure);
            }
            case Result.Ok<HttpServer>(var server) -> {
                LOG.info("node {} serves on {}", cluster.self().id(), settings.http());
                Node node = new Node(settings, clock, metrics, cluster, serving, guard, server);
                Thread.ofVirtual().name("own-reclaim").start(node::awaitOwnReclaim);
                yield Result.ok(node);
            }
        };
    }

    private static void install(
            Jooby app,
            NodeSettings settings,
            Cluster cluster,
            Serving serving,
            Authenticator authenticator,
            RequestPreconditions guard,
            NodeMetrics metrics,
            InstantSource clock,
            SecureRandom random) {
        ObjectMapper mapper = new ObjectMapper();
        new HealthRoutes(metrics, () -> notReady(cluster, guard)).install(app);
        AsyncRequestRoutes accepted = new AsyncRequestRoutes(guard, serving.work(), clock);
        accepted.install(app);
        new ModelRoutes(
                        guard,
                        new ModelRequestParser(mapper),
                        serving.admission(),
                        serving.work(),
                        accepted,
                        serving.codec(),
                        serving.usage(),
                        metrics,
                        clock,
                        settings.requests().writeTimeout())
                .install(app);
        new ServiceRoutes(
                        guard,
                        serving.services(),
                        serving.once(),
                        serving.claims(),
                        serving.admission(),
                        accepted,
                        serving.codec(),
                        metrics,
                        clock)
                .install(app);
        new AdminRoutes(
                        authenticator,
                        CatalogueStore.create(cluster.store(), clock, random),
                        cluster::spread,
                        () ->
                                StatusReport.status(
                                        cluster.self(),
                                        guard.isDraining(),
                                        cluster.replicaDigest(),
                                        cluster.members(),
                                        cluster.endpoints().images(),
                                        cluster.catalogue().all()),
                        () -> StatusReport.burn(cluster.self().id().value(), serving.burn()),
                        () -> startDraining(cluster, serving, guard),
                        clock)
                .install(app);
        metrics.gauge("carobdoor_requests_in_flight", "Requests being served", guard::inFlight);
    }

    private static String notReady(Cluster cluster, RequestPreconditions guard) {
        if (guard.isDraining()) {
            return "the node is stopping";
        }
        return cluster.notReady();
    }

    private static void startDraining(
            Cluster cluster, Serving serving, RequestPreconditions guard) {
        if (!guard.isDraining()) {
            LOG.info("drain started, {} requests in flight", guard.inFlight());
        }
        guard.startDraining();
        cluster.leave();
        serving.work().drain(false);
    }

    /**
     * Drains when the VM of this node is announced to be reclaimed: submitted work is handed over
     * at once, streams shortly before the end, so that most of them finish here.
     */
    private void awaitOwnReclaim() {
        while (!closed && cluster.reclaimAt().isEmpty()) {
            sleep(RECLAIM_POLL);
        }
        if (closed) {
            return;
        }
        Instant handOverAt = cluster.reclaimAt().orElseThrow().minus(STREAM_HANDOVER);
        startDraining(cluster, serving, guard);
        while (!closed && clock.instant().isBefore(handOverAt)) {
            sleep(DRAIN_POLL);
        }
        if (!closed) {
            LOG.info("handing over {} streams before the reclaim", guard.inFlight());
            serving.work().drain(true);
        }
    }

    private static void sleep(Duration time) {
        try {
            Thread.sleep(time);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Refuses new work and waits until no request is in flight. */
    public void stopGracefully() {
        startDraining(cluster, serving, guard);
        Instant deadline = clock.instant().plus(settings.requests().timeout());
        while (guard.inFlight() > 0 && clock.instant().isBefore(deadline)) {
            sleep(DRAIN_POLL);
        }
        boolean handedOver = serving.work().awaitDrained(deadline);
        LOG.info(
                "drain ended, {} requests in flight, accepted work {}",
                guard.inFlight(),
                handedOver ? "handed over" : "not handed over in time");
        metrics.event("drained", 1);
    }

    @Override
    public void close() {
        closed = true;
        http.close();
        serving.close();
        cluster.close();
    }
}
