package review;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.carobdoor.standins.FreePorts;
import org.carobdoor.standins.gateway.StoreStandIn;

/**
 * A small deployment: nodes as separate processes, started with the command of the deploy file and
 * settings as its template makes them, and stand-ins of the platform and the servers in this
 * process. Runs in the root of the repository.
 */
final class Deployment implements AutoCloseable {
    /** Bounds of the users' sheets (sharkawy-bales and nads-motions have the same). */
    static final long CONTACT_MS = 3_000;

    static final long CONFIG_APPLY_MS = 2_000;
    static final long GRACE_MS = 8_000;

    /** A node's process and its ports. */
    static final class Node {
        final String name;
        final int front = FreePorts.next();
        final int ready = FreePorts.next();
        final int peer = FreePorts.next();
        final int metrics = FreePorts.next();
        Process process;

        Node(String name) {
            this.name = name;
        }
    }

    final Recorder recorder;
    final StoreStandIn store = StoreStandIn.start();
    final Cloud cloud;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final List<TestServer> servers = new ArrayList<>();
    private final Path temporary;
    private final String command;
    private String storeOverride = "";

    Deployment(Path caseFolder) throws IOException {
        recorder = new Recorder(caseFolder.resolve("record.txt"));
        cloud = new Cloud(recorder);
        temporary = Files.createTempDirectory("carobdoor-review-");
        command =
                Files.readAllLines(Path.of("deploy/system.toml")).stream()
                        .filter(l -> l.startsWith("run = "))
                        .map(l -> l.substring(l.indexOf('"') + 1, l.lastIndexOf('"')))
                        .findFirst()
                        .orElseThrow();
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        recorder.line("start    trouble=%s", trouble);
    }

    /** Lets the nodes that are started from now on reach the store at another address. */
    void storeAt(int port) {
        storeOverride = "127.0.0.1:" + port;
    }

    void configure(String json) {
        store.put("op/config", json);
        recorder.line("operator op/config %s", json.replaceAll("\\s+", " "));
    }

    TestServer startServer(String id, String service, TestServer.Responder responder) {
        TestServer s = new TestServer(id, recorder, responder);
        servers.add(s);
        store.putEndpoint(id, service, "ready", s.address());
        return s;
    }

    Node startNode(String name) throws IOException {
        Node n = nodes.computeIfAbsent(name, Node::new);
        InetSocketAddress s = store.address();
        String storeAddress = storeOverride.isEmpty() ? "127.0.0.1:" + s.getPort() : storeOverride;
        String settings =
                String.format(
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
                        cluster_keys = ["gateway-cluster-key-0001"]
                        [platform]
                        store = "%s"
                        cloud = "127.0.0.1:%d"
                        duties = ["usage","scale"]
                        [bounds]
                        stop_grace = "8s"
                        duty_lease = "3000ms"
                        usage_window = "5s"
                        quota_window = "8s"
                        quota_tolerance = 0.1
                        retry_window = "10s"
                        retry_share = 0.2
                        retry_saved = 52
                        """,
                        name,
                        n.front,
                        n.ready,
                        n.peer,
                        n.metrics,
                        storeAddress,
                        cloud.address().getPort());
        Path file = temporary.resolve(name + ".toml");
        Files.writeString(file, settings, StandardCharsets.UTF_8);
        List<String> words =
                Stream.of(command.split(" "))
                        .map(w -> w.equals("/etc/carobdoor/node.toml") ? file.toString() : w)
                        .toList();
        File log = temporary.resolve(name + ".log").toFile();
        n.process =
                new ProcessBuilder(words)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                        .start();
        recorder.line("node     %s started, process %d", name, n.process.pid());
        return n;
    }

    /** Waits until all nodes say that they are ready. */
    void awaitReady() throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(25);
        for (Node n : nodes.values()) {
            while (!isReady(n)) {
                if (System.nanoTime() - until > 0 || !n.process.isAlive()) {
                    throw new IllegalStateException(n.name + " does not become ready");
                }
                Thread.sleep(50);
            }
            recorder.line("node     %s is ready", n.name);
        }
    }

    static boolean isReady(Node n) {
        try {
            HttpURLConnection c =
                    (HttpURLConnection)
                            URI.create("http://127.0.0.1:" + n.ready + "/readiness")
                                    .toURL()
                                    .openConnection();
            c.setConnectTimeout(500);
            c.setReadTimeout(500);
            return c.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns what a node has logged, for reading a failure. */
    String log(Node n) throws IOException {
        return Files.readString(temporary.resolve(n.name + ".log"));
    }

    private void endProcesses() {
        for (Node n : nodes.values()) {
            if (n.process != null) {
                n.process.destroyForcibly();
            }
        }
    }

    /**
     * Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if it could not run. With the
     * variable SHOW_LOGS, the nodes' logs are printed at the end.
     */
    static void main(String[] args, Case c) {
        int status = 2;
        try (Deployment d = new Deployment(Path.of(args[0]))) {
            try {
                String broken = c.run(d);
                status = broken.isEmpty() ? 0 : 1;
                d.recorder.line("result   %s", broken.isEmpty() ? "the rule held" : broken);
                System.out.println(broken.isEmpty() ? "held" : "broken: " + broken);
                if (System.getenv("SHOW_LOGS") != null) {
                    for (Node n : d.nodes.values()) {
                        System.out.println("== " + n.name + "\n" + d.log(n));
                    }
                }
            } catch (Exception | Error e) {
                d.recorder.line("result   could not run: %s", e);
                e.printStackTrace();
                for (Node n : d.nodes.values()) {
                    System.err.println("== " + n.name + "\n" + d.log(n));
                }
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    /** A case; returns how the rule was broken, or an empty text. */
    interface Case {
        String run(Deployment d) throws Exception;
    }

    @Override
    public void close() {
        endProcesses();
        try {
            for (Node n : nodes.values()) {
                n.process.waitFor(5, TimeUnit.SECONDS);
            }
            for (TestServer s : servers) {
                s.close();
            }
            cloud.close();
            store.close();
            recorder.close();
            try (Stream<Path> files = Files.walk(temporary)) {
                files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
