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
 * A running node.
 *
 * <pre>{@code
 * try (Node node = Node.start(settings).orElseThrow()) {
 *     node.stopGracefully();
 * }
 * }</pre>
 */
public final class Node implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Node.class);
    private static final int NODE_ID_SUFFIX_BYTES = 5;
    private static final Duration DRAIN_POLL_INTERVAL = Duration.ofMillis(20);
    private static final Duration RECLAIM_POLL_INTERVAL = Duration.ofMillis(100);

    /**
     * How long before the reclaim open streams are handed over to the nodes that hold their copies.
     */
    private static final Duration STREAM_HANDOVER_LEAD_TIME = Duration.ofSeconds(2);

    private final NodeSettings settings;
    private final InstantSource clock;
    private final NodeMetrics metrics;
    private final Cluster cluster;
    private final ServingComponents serving;
    private final RequestPreconditions preconditions;
    private final HttpServer http;
    private volatile boolean closed;

    private Node(
            NodeSettings settings,
            InstantSource clock,
            NodeMetrics metrics,
            Cluster cluster,
            ServingComponents serving,
            RequestPreconditions preconditions,
            HttpServer http) {
        this.settings = settings;
        this.clock = clock;
        this.metrics = metrics;
        this.cluster = cluster;
        this.serving = serving;
        this.preconditions = preconditions;
        this.http = http;
    }

    /** Starts a node; a failure names the address that cannot be bound. */
    public static Result<Node> start(NodeSettings settings) {
        InstantSource clock = MonotonicInstantSource.start();
        SecureRandom random = new SecureRandom();
        NodeMetrics metrics = NodeMetrics.create();
        byte[] idSuffix = new byte[NODE_ID_SUFFIX_BYTES];
        random.nextBytes(idSuffix);
        // A restarted daemon gets a new node id, since it keeps no state across restarts.
        NodeId id = new NodeId(settings.name() + "-" + HexFormat.of().formatHex(idSuffix));
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
        ServingComponents serving =
                ServingComponents.start(settings, cluster, metrics, clock, random);
        Authenticator authenticator =
                new Authenticator(settings.accounts(), settings.operatorKeys());
        RequestPreconditions preconditions =
                new RequestPreconditions(
                        authenticator, cluster.catalogue(), clock, settings.requests().timeout());
        Result<HttpServer> http =
                HttpServer.start(
                        settings.http(),
                        settings.requests().maxBodyBytes(),
                        metrics,
                        app ->
                                registerRoutes(
                                        app,
                                        settings,
                                        cluster,
                                        serving,
                                        authenticator,
                                        preconditions,
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
                LOG.info("node {} listens on {}", cluster.self().id(), settings.http());
                Node node =
                        new Node(settings, clock, metrics, cluster, serving, preconditions, server);
                Thread.ofVirtual().name("own-reclaim").start(node::awaitOwnReclaim);
                yield Result.ok(node);
            }
        };
    }

    private static void registerRoutes(
            Jooby app,
            NodeSettings settings,
            Cluster cluster,
            ServingComponents serving,
            Authenticator authenticator,
            RequestPreconditions preconditions,
            NodeMetrics metrics,
            InstantSource clock,
            SecureRandom random) {
        ObjectMapper mapper = new ObjectMapper();
        new HealthRoutes(metrics, () -> notReadyReason(cluster, preconditions)).install(app);
        AsyncRequestRoutes asyncRequests =
                new AsyncRequestRoutes(preconditions, serving.work(), clock);
        asyncRequests.install(app);
        new ModelRoutes(
                        preconditions,
                        new ModelRequestParser(mapper),
                        serving.admission(),
                        serving.work(),
                        asyncRequests,
                        serving.codec(),
                        serving.usage(),
                        metrics,
                        clock,
                        settings.requests().writeTimeout())
                .install(app);
        new ServiceRoutes(
                        preconditions,
                        serving.services(),
                        serving.atMostOnceCalls(),
                        serving.claims(),
                        serving.admission(),
                        asyncRequests,
                        serving.codec(),
                        metrics,
                        clock)
                .install(app);
        new AdminRoutes(
                        authenticator,
                        CatalogueStore.create(cluster.store(), clock, random),
                        cluster::publishEntry,
                        () ->
                                StatusReport.status(
                                        cluster.self(),
                                        preconditions.isDraining(),
                                        cluster.replicaDigest(),
                                        cluster.members(),
                                        cluster.endpoints().snapshots(),
                                        cluster.catalogue().all()),
                        () -> StatusReport.burn(cluster.self().id().value(), serving.burn()),
                        () -> startDraining(cluster, serving, preconditions),
                        clock)
                .install(app);
        metrics.gauge(
                "carobdoor_requests_in_flight", "Requests being served", preconditions::inFlight);
    }

    private static String notReadyReason(Cluster cluster, RequestPreconditions preconditions) {
        if (preconditions.isDraining()) {
            return "the node is stopping";
        }
        return cluster.notReadyReason();
    }

    private static void startDraining(
            Cluster cluster, ServingComponents serving, RequestPreconditions preconditions) {
        if (!preconditions.isDraining()) {
            LOG.info("drain started, {} requests in flight", preconditions.inFlight());
        }
        preconditions.startDraining();
        cluster.leave();
        serving.work().drain(false);
    }

    /**
     * Waits for a reclaim notice for the VM of this node, then drains: submitted work is handed
     * over at once, open streams shortly before the reclaim, so that most of them finish at this
     * node.
     */
    private void awaitOwnReclaim() {
        while (!closed && cluster.reclaimAt().isEmpty()) {
            sleep(RECLAIM_POLL_INTERVAL);
        }
        if (closed) {
            return;
        }
        Instant streamHandoverAt =
                cluster.reclaimAt().orElseThrow().minus(STREAM_HANDOVER_LEAD_TIME);
        startDraining(cluster, serving, preconditions);
        while (!closed && clock.instant().isBefore(streamHandoverAt)) {
            sleep(DRAIN_POLL_INTERVAL);
        }
        if (!closed) {
            LOG.info("handing over {} open streams before the reclaim", preconditions.inFlight());
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

    /** Rejects new work and waits until no request is in flight. */
    public void stopGracefully() {
        startDraining(cluster, serving, preconditions);
        Instant deadline = clock.instant().plus(settings.requests().timeout());
        while (preconditions.inFlight() > 0 && clock.instant().isBefore(deadline)) {
            sleep(DRAIN_POLL_INTERVAL);
        }
        boolean handedOver = serving.work().awaitDrained(deadline);
        LOG.info(
                "drain ended, {} requests in flight, accepted work {}",
                preconditions.inFlight(),
                handedOver ? "handed over" : "not handed over before the deadline");
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
