package org.carobdoor.bench.faults;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.carobdoor.bench.cluster.ChildProcess;
import org.carobdoor.standins.FreePorts;
import org.carobdoor.standins.gateway.AnswerLedger;
import org.carobdoor.standins.gateway.CloudStandIn;
import org.carobdoor.standins.gateway.RawEndpointStandIn;
import org.carobdoor.standins.gateway.StoreStandIn;
import org.carobdoor.standins.gateway.StutteringEndpoint;

/**
 * Gateways as separate processes, in front of engines that crash when they begin to answer a prompt
 * with {@link #DEADLY_PART}, and in front of a plain service. The store, the cloud API, the engines
 * and the endpoints of the plain service run in this process.
 */
final class GatewayCluster implements AutoCloseable {
    /** The part of a prompt that engines crash on. */
    static final String DEADLY_PART = "dead";

    private static final double RETRY_SHARE = 0.2;
    private static final int SAVED_RETRIES = 50;
    private static final int RETRY_WINDOW_SECONDS = 10;

    /** Time without a disruption after which the bounds hold for a node. */
    static final long CONTACT_NANOS = 3_000_000_000L;

    /** The retry budget of each service, over all nodes. */
    static final RetryWindowCheck RETRIES =
            new RetryWindowCheck(RETRY_SHARE, SAVED_RETRIES, RETRY_WINDOW_SECONDS * 1_000_000_000L);

    private static final long ENGINE_AWAY_MILLIS = 1_500;
    private static final long ANSWER_DELAY_MILLIS = 30;
    private static final int EVENTS = 5;
    private static final Duration HTTP_TIMEOUT = Duration.ofSeconds(1);

    private static final String CONFIGURATION =
            """
            {"version":%d,
             "routes":[
              {"name":"draft","host":"127.0.0.1","prefix":"/draft/","kind":"streaming",
               "timeoutMs":4000,"latencyTargetMs":600,"priority":0,"service":"llm",
               "maxAttempts":1,"sessionAffinity":true,"streamResumption":false,"gapTargetMs":500},
              {"name":"chat","host":"127.0.0.1","prefix":"/chat/","kind":"streaming",
               "timeoutMs":4000,"latencyTargetMs":600,"priority":0,"service":"llm",
               "maxAttempts":2,"sessionAffinity":true,"streamResumption":true,"gapTargetMs":500},
              {"name":"briefs","host":"127.0.0.1","prefix":"/briefs/","kind":"streaming",
               "timeoutMs":4000,"latencyTargetMs":600,"priority":0,"service":"brief",
               "maxAttempts":2,"sessionAffinity":false,"streamResumption":true,"gapTargetMs":500},
              {"name":"lots","host":"127.0.0.1","prefix":"/lots/","kind":"safe",
               "timeoutMs":2000,"latencyTargetMs":300,"priority":0,"service":"auction",
               "maxAttempts":3},
              {"name":"bids","host":"127.0.0.1","prefix":"/bids/","kind":"unsafe",
               "timeoutMs":2000,"latencyTargetMs":300,"priority":0,"service":"auction",
               "maxAttempts":2}],
             "services":[{"name":"brief","healthPath":"/health","maxConnections":400},
              {"name":"auction","healthPath":"/health","maxConnections":400},
              {"name":"llm","healthPath":"/health","maxConnections":400,
               "engine":{"slots":32,"kvTokens":1000000,"kvBytes":100}}],
             "limits":{"headerBytes":8192,"bodyBytes":100000,"headerTimeoutMs":1000,
              "idleTimeoutMs":15000},
             "tenants":[{"name":"hay","apiKeys":["key-1"],"unit":"tokens","plainTokens":10,
              "ratePerS":100000000,"burst":100000000}]}
            """;

    /** The service whose endpoints differ in their versions. */
    private static final String VERSIONED_SERVICE = "brief";

    /** The plain service. */
    static final String PLAIN_SERVICE = "auction";

    private static final String SETTINGS =
            """
            [node]
            name = "%s"
            availability_zone = "a"
            [listen]
            callers = "127.0.0.1:%d"
            readiness = "127.0.0.1:%d"
            peer = "127.0.0.1:%d"
            metrics = "127.0.0.1:%d"
            [peers]
            cluster_keys = ["a-key-for-the-soak"]
            [platform]
            store = "127.0.0.1:%d"
            cloud = "127.0.0.1:%d"
            duties = ["usage"]
            [bounds]
            stop_grace = "4s"
            usage_window = "1s"
            retry_share = %s
            retry_saved = %d
            retry_window = "%ds"
            """;

    private record Arrival(String requestId, long nanos) {}

    private final HttpClient http = HttpClient.newBuilder().connectTimeout(HTTP_TIMEOUT).build();
    private final StoreStandIn store = StoreStandIn.start();
    private final CloudStandIn cloud = CloudStandIn.start();
    private final List<RawEndpointStandIn> engines = new ArrayList<>();
    private final AnswerLedger ledger = new AnswerLedger();
    private final List<StutteringEndpoint> endpoints = new ArrayList<>();
    private final VersionedEndpoints versioned = new VersionedEndpoints(store, VERSIONED_SERVICE);
    private final Map<String, ChildProcess> nodes = new ConcurrentHashMap<>();
    private final Map<String, int[]> ports = new ConcurrentHashMap<>();
    private final Map<String, Boolean> run = new ConcurrentHashMap<>();
    private final Map<String, Long> disruptedNanos = new ConcurrentHashMap<>();
    private final Disruptions disruptions = new Disruptions(CONTACT_NANOS);
    private final List<Arrival> deadlyArrivals = new ArrayList<>();
    private final List<Long> crashNanos = new ArrayList<>();
    private final Path root;
    private final Path runDir;
    private int configurationVersion = 1;

    private GatewayCluster(Path root, Path runDir) {
        this.root = root;
        this.runDir = runDir;
    }

    /**
     * Starts the processes.
     *
     * @param endpointCount the number of endpoints of the plain service
     * @param seed the seed of their behavior
     */
    static GatewayCluster start(
            Path root, Path runDir, int nodeCount, int engineCount, int endpointCount, long seed)
            throws IOException {
        GatewayCluster c = new GatewayCluster(root, runDir);
        c.changeConfiguration();
        for (int i = 0; i < engineCount; i++) {
            c.startEngine("i-" + i);
        }
        for (int i = 0; i < endpointCount; i++) {
            StutteringEndpoint e = StutteringEndpoint.start("e-" + i, c.ledger, seed + i);
            e.register(c.store, PLAIN_SERVICE);
            c.endpoints.add(e);
        }
        for (int i = 0; i < nodeCount; i++) {
            String name = "n" + i;
            c.ports.put(
                    name,
                    new int[] {
                        FreePorts.next(), FreePorts.next(), FreePorts.next(), FreePorts.next()
                    });
            c.startNode(name);
        }
        return c;
    }

    private void startEngine(String id) {
        RawEndpointStandIn[] engine = new RawEndpointStandIn[1];
        engine[0] =
                RawEndpointStandIn.start(
                        (request, connection) -> {
                            String requestId = request.header("X-Attempt-Id");
                            boolean deadly =
                                    request.header("X-Prompt-Prefix").contains(DEADLY_PART + ":");
                            if (deadly) {
                                recordDeadlyArrival(requestId);
                            }
                            pause();
                            if (deadly) {
                                recordCrash();
                                engine[0].crash(ENGINE_AWAY_MILLIS);
                                return;
                            }
                            run.put(requestId, true);
                            stream(request, connection);
                        });
        engine[0].register(store, id, "llm");
        engines.add(engine[0]);
    }

    private static void stream(
            RawEndpointStandIn.Request request, RawEndpointStandIn.Connection connection)
            throws IOException {
        String lastId = request.header("Last-Event-Id");
        connection.write(
                "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Attempt-Id: "
                        + request.header("X-Attempt-Id")
                        + "\r\nContent-Type: text/event-stream\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n");
        for (int i = lastId.isEmpty() ? 1 : Integer.parseInt(lastId) + 1; i <= EVENTS; i++) {
            String event = "id: " + i + "\ndata: token\n\n";
            connection.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        }
        connection.write("0\r\n\r\n");
    }

    private static void pause() throws IOException {
        try {
            Thread.sleep(ANSWER_DELAY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    private synchronized void recordDeadlyArrival(String requestId) {
        deadlyArrivals.add(new Arrival(requestId, System.nanoTime()));
    }

    private synchronized void recordCrash() {
        crashNanos.add(System.nanoTime());
    }

    /** Returns when engines crashed on a request, in {@link System#nanoTime}. */
    synchronized List<Long> crashes() {
        return List.copyOf(crashNanos);
    }

    /** Returns the ids of the deadly requests that reached an engine after {@code nanos}. */
    synchronized List<String> deadlyArrivalsAfter(long nanos) {
        return deadlyArrivals.stream()
                .filter(a -> a.nanos - nanos > 0)
                .map(Arrival::requestId)
                .toList();
    }

    /** Returns whether an engine ran the request. */
    boolean hasRun(String requestId) {
        return run.containsKey(requestId);
    }

    List<String> nodeNames() {
        return ports.keySet().stream().sorted().toList();
    }

    int engineCount() {
        return engines.size();
    }

    /** Returns the endpoints of the plain service. */
    List<StutteringEndpoint> endpoints() {
        return List.copyOf(endpoints);
    }

    /** Returns the endpoints that differ in their versions. */
    VersionedEndpoints versioned() {
        return versioned;
    }

    /** Returns what the endpoints of the plain service answered. */
    AnswerLedger ledger() {
        return ledger;
    }

    int callerPort(String node) {
        return ports.getOrDefault(node, new int[1])[0];
    }

    /** Crashes an engine for a reason that has nothing to do with a request. */
    void crashEngine(int index) throws IOException {
        engines.get(index).crash(ENGINE_AWAY_MILLIS);
    }

    void setStoreDown(boolean down) {
        store.setDown(down);
        disruptions.recordStore(down);
    }

    StoreStandIn store() {
        return store;
    }

    /** Returns when nodes and the store were disrupted. */
    Disruptions disruptions() {
        return disruptions;
    }

    void compactStore() {
        store.compact();
    }

    void changeConfiguration() {
        store.put("op/config", String.format(CONFIGURATION, configurationVersion++));
    }

    List<String> quarantineKeys() {
        return store.keys("carobdoor/quarantine/");
    }

    ChildProcess process(String node) {
        ChildProcess p = nodes.get(node);
        if (p == null) {
            throw new IllegalArgumentException("no node " + node);
        }
        return p;
    }

    void startNode(String name) throws IOException {
        int[] p = ports.getOrDefault(name, new int[4]);
        Path file = runDir.resolve(name + ".toml");
        Files.writeString(
                file,
                String.format(
                        SETTINGS,
                        name,
                        p[0],
                        p[1],
                        p[2],
                        p[3],
                        store.address().getPort(),
                        cloud.address().getPort(),
                        RETRY_SHARE,
                        SAVED_RETRIES,
                        RETRY_WINDOW_SECONDS));
        nodes.put(
                name,
                ChildProcess.start(
                        name,
                        List.of(
                                root.resolve("bin/carobdoord").toString(),
                                "--gateway",
                                "--settings",
                                file.toString()),
                        runDir.resolve(name + ".log")));
    }

    boolean isReady(String node) {
        int port = ports.getOrDefault(node, new int[2])[1];
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/readiness"))
                        .timeout(HTTP_TIMEOUT)
                        .build();
        try {
            return http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Records that a node is being disrupted. */
    void recordDisruption(String node) {
        disruptedNanos.put(node, System.nanoTime());
    }

    /** Returns whether a node was not disrupted recently. */
    boolean isInTouch(String node) {
        Long at = disruptedNanos.get(node);
        return at == null || System.nanoTime() - at > CONTACT_NANOS;
    }

    /** Waits until all nodes are ready; returns whether they are. */
    boolean awaitReady(Duration timeout) throws InterruptedException {
        long deadline = System.nanoTime() + timeout.toNanos();
        while (System.nanoTime() - deadline < 0) {
            if (nodeNames().stream().allMatch(this::isReady)) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    @Override
    public void close() {
        nodes.values().forEach(ChildProcess::close);
        engines.forEach(RawEndpointStandIn::close);
        endpoints.forEach(StutteringEndpoint::close);
        versioned.close();
        cloud.close();
        store.close();
        http.close();
    }
}
