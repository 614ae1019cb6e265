package org.carobdoor.standins.gateway;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.carobdoor.standins.FreePorts;

/**
 * Runs a gateway with the load of its first seconds, and reports the processor time that it took.
 *
 * <p>The build records the classes that the daemon loads meanwhile in an archive that shortens its
 * start, so this run exercises what every node does soon after its start: it reads the store,
 * exchanges statuses with a second node, forwards plain requests and streams, takes a change of
 * configuration, loses an endpoint and stops gracefully.
 *
 * <pre>{@code
 * TrainingRun WORK_DIR [-XX:ArchiveClassesAtExit=FILE] java OPTIONS... MAIN ARGUMENTS...
 * }</pre>
 *
 * <p>{@code --settings FILE} is added to the command.
 */
public final class TrainingRun {
    private static final String CONFIGURATION =
            """
            {"version":%d,
             "routes":[
              {"name":"safe","host":"127.0.0.1","prefix":"/safe/","kind":"safe","timeoutMs":3000,
               "latencyTargetMs":200,"priority":2,"service":"desk","maxAttempts":2},
              {"name":"once","host":"127.0.0.1","prefix":"/once/","kind":"unsafe",
               "timeoutMs":3000,"latencyTargetMs":200,"priority":2,"service":"desk",
               "maxAttempts":1},
              {"name":"chat","host":"127.0.0.1","prefix":"/llm/","kind":"streaming",
               "timeoutMs":3000,"latencyTargetMs":600,"priority":0,"service":"llm",
               "maxAttempts":2,"sessionAffinity":true,"streamResumption":true,
               "gapTargetMs":500}],
             "services":[
              {"name":"desk","healthPath":"/health","maxConnections":50},
              {"name":"llm","healthPath":"/health","maxConnections":50,
               "scaling":{"minimum":1,"maximum":4,"bootS":1,"spotPrice":0.2,
                "zonePrices":{"a":1.0,"b":1.1}},
               "engine":{"slots":8,"kvTokens":100000,"kvBytes":100}}],
             "limits":{"headerBytes":8192,"bodyBytes":100000,"headerTimeoutMs":1000,
              "idleTimeoutMs":5000},
             "tenants":[{"name":"hay","apiKeys":["key-1"],"unit":"tokens","plainTokens":10,
              "ratePerS":1000000,"burst":1000000}]}
            """;

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
            cluster_keys = ["a-key-for-the-training"]
            [platform]
            store = "127.0.0.1:%d"
            cloud = "127.0.0.1:%d"
            duties = ["usage", "scale"]
            [bounds]
            stop_grace = "4s"
            duty_lease = "3000ms"
            usage_window = "1s"
            quota_window = "8s"
            quota_tolerance = 0.1
            retry_window = "10s"
            retry_share = 0.2
            retry_saved = 50
            """;

    private static final int PORTS = 4;
    private static final int ROUNDS = 60;
    private static final int FIRST_ROUNDS = 3;
    private static final int UNAUTHORIZED_EACH = 20;
    private static final long ROUND_MILLIS = 25;
    private static final long READY_POLL_MILLIS = 20;
    private static final Duration HTTP_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
    private static final long STOP_TIMEOUT_SECONDS = 60;
    private static final String ARCHIVE_OPTION = "-XX:ArchiveClassesAtExit=";

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final StoreStandIn store;
    private final CloudStandIn cloud;
    private final Path dir;

    private TrainingRun(StoreStandIn store, CloudStandIn cloud, Path dir) {
        this.store = store;
        this.cloud = cloud;
        this.dir = dir;
    }

    /** Runs two gateways, records the archive of the first if one is named, and stops both. */
    public static void main(String[] args) throws IOException, InterruptedException {
        Path dir = Files.createDirectories(Path.of(args[0]));
        List<String> command = new ArrayList<>(Arrays.asList(args).subList(1, args.length));
        String archive = command.getFirst().startsWith(ARCHIVE_OPTION) ? command.removeFirst() : "";
        try (StoreStandIn store = StoreStandIn.start();
                CloudStandIn cloud = CloudStandIn.start();
                BackendStandIn desk = BackendStandIn.start("i-1");
                BackendStandIn leaving = BackendStandIn.start("i-2");
                BackendStandIn engine = BackendStandIn.start("i-3")) {
            store.put("op/config", String.format(CONFIGURATION, 1));
            desk.register(store, "desk", "ready");
            leaving.register(store, "desk", "ready");
            engine.register(store, "llm", "ready");
            new TrainingRun(store, cloud, dir).run(command, archive, leaving);
        }
    }

    private void run(List<String> command, String archive, BackendStandIn leaving)
            throws IOException, InterruptedException {
        List<String> recorded = new ArrayList<>(command);
        if (!archive.isEmpty()) {
            recorded.add(1, archive);
        }
        int[] ports = freePorts();
        Process other = start("other", command, freePorts());
        Process node = start("node", recorded, ports);
        try {
            awaitReady(node, ports[1]);
            report(node, "ready");
            for (int i = 0; i < ROUNDS; i++) {
                if (i == FIRST_ROUNDS) {
                    report(node, "after " + i + " rounds of requests");
                }
                if (i == ROUNDS / 3) {
                    store.put("op/config", String.format(CONFIGURATION, 2));
                    leaving.register(store, "desk", "draining");
                }
                if (i == ROUNDS / 2) {
                    leaving.setMode(BackendStandIn.Mode.REJECT);
                    store.compact();
                }
                round(ports[0], i);
                TimeUnit.MILLISECONDS.sleep(ROUND_MILLIS);
            }
            get(ports[3], "/metrics", "");
            report(node, "after " + ROUNDS + " rounds of requests");
            node.destroy();
            if (!node.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new IOException("the gateway did not stop, see " + dir);
            }
        } finally {
            node.destroyForcibly();
            other.destroyForcibly();
        }
    }

    private void round(int port, int number) throws IOException, InterruptedException {
        get(port, "/safe/" + number, "key-1");
        post(port, "/once/" + number, "a bid");
        post(port, "/llm/" + number, "a prompt");
        if (number % UNAUTHORIZED_EACH == 0) {
            get(port, "/safe/" + number, "no-key");
        }
    }

    private void get(int port, String path, String key) throws IOException, InterruptedException {
        client.send(request(port, path, key).GET().build(), HttpResponse.BodyHandlers.discarding());
    }

    private void post(int port, String path, String body) throws IOException, InterruptedException {
        client.send(
                request(port, path, "key-1")
                        .header("X-Model", "m")
                        .header("X-Token-Counts", "1500,40")
                        .header("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250")
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.discarding());
    }

    private static HttpRequest.Builder request(int port, String path, String key) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(HTTP_TIMEOUT)
                .header("X-Attempt-Id", Long.toHexString(System.nanoTime()))
                .header("X-Deadline-Milliseconds", "2500")
                .header("Authorization", "Bearer " + key);
    }

    private Process start(String name, List<String> command, int[] ports) throws IOException {
        Path settings = dir.resolve(name + ".toml");
        Files.writeString(
                settings,
                String.format(
                        SETTINGS,
                        name,
                        ports[0],
                        ports[1],
                        ports[2],
                        ports[3],
                        store.address().getPort(),
                        cloud.address().getPort()));
        List<String> all = new ArrayList<>(command);
        all.addAll(List.of("--settings", settings.toString()));
        Path log = dir.resolve(name + ".log");
        return new ProcessBuilder(all)
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
                .start();
    }

    private void awaitReady(Process node, int port) throws IOException, InterruptedException {
        long deadline = System.nanoTime() + START_TIMEOUT.toNanos();
        while (!isReady(port)) {
            if (!node.isAlive() || System.nanoTime() - deadline > 0) {
                throw new IOException("the gateway is not ready, see " + dir);
            }
            TimeUnit.MILLISECONDS.sleep(READY_POLL_MILLIS);
        }
    }

    private boolean isReady(int port) throws InterruptedException {
        try {
            return client.send(
                                    request(port, "/readiness", "").build(),
                                    HttpResponse.BodyHandlers.discarding())
                            .statusCode()
                    == 200;
        } catch (IOException e) {
            // The process does not listen yet; the caller tries again until its deadline.
            return false;
        }
    }

    private static void report(Process node, String when) {
        node.info()
                .totalCpuDuration()
                .ifPresent(
                        d -> System.out.printf("processor time %s: %d ms%n", when, d.toMillis()));
    }

    private static int[] freePorts() {
        return IntStream.range(0, PORTS).map(i -> FreePorts.next()).toArray();
    }
}
