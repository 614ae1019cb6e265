package org.carobdoor.bench.cluster;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A small installation of separate processes: a platform, engines, plain services and daemons.
 *
 * <pre>{@code
 * try (LocalCluster cluster = LocalCluster.start(ClusterPlan.small(), Path.of("."), runDir)) {
 *     cluster.awaitReady(Duration.ofSeconds(30));
 * }
 * }</pre>
 */
public final class LocalCluster implements AutoCloseable {
    /** The key of the only operator. */
    public static final String OPERATOR_KEY = "operator-key-0001";

    /** The key of the client account {@code hay}. */
    public static final String CALLER_KEY = "hay-account-key-01";

    /** The client account of {@link #CALLER_KEY}. */
    public static final String ACCOUNT = "hay";

    private static final int FIRST_PORT = 12_000;
    private static final int PORT_RANGE = 15_000;
    private static final Duration PROCESS_START = Duration.ofSeconds(30);

    private final Path root;
    private final Path runDir;
    private final ClusterPlan plan;
    private final HttpProbe http = HttpProbe.create();
    private final Map<String, ChildProcess> processes = new LinkedHashMap<>();
    private final Map<String, Integer> ports = new LinkedHashMap<>();
    private final Map<String, Integer> generations = new LinkedHashMap<>();

    private LocalCluster(Path root, Path runDir, ClusterPlan plan) {
        this.root = root;
        this.runDir = runDir;
        this.plan = plan;
    }

    /**
     * Starts all processes.
     *
     * @param root the project's root, whose {@code bin} is used
     * @param runDir where settings files and logs go
     */
    public static LocalCluster start(ClusterPlan plan, Path root, Path runDir) throws IOException {
        Files.createDirectories(runDir);
        LocalCluster cluster = new LocalCluster(root, runDir, plan);
        try {
            cluster.startAll();
            return cluster;
        } catch (IOException | RuntimeException e) {
            cluster.close();
            throw e;
        }
    }

    private void startAll() throws IOException {
        List<String> names = new ArrayList<>();
        names.add("platform");
        names.addAll(engineNames());
        names.addAll(serviceNames());
        nodeNames().forEach(n -> names.addAll(List.of(n, n + "-peer")));
        allocatePorts(names);
        startStandIn("platform", "platform", "--list-lag-millis", "500");
        String tokenMillis = Double.toString(plan.tokenMillis());
        for (String e : engineNames()) {
            startStandIn(
                    e, "engine", "--id", e, "--models", "draft", "--token-millis", tokenMillis);
        }
        for (String s : serviceNames()) {
            startStandIn(s, "service", "--id", s);
        }
        await("platform", url("platform") + "/kv/stats");
        for (String e : engineNames()) {
            await(e, url(e) + "/ledger");
            register(e, "engine");
        }
        for (String s : serviceNames()) {
            await(s, url(s) + "/ledger");
            register(s, "auction");
        }
        for (String n : nodeNames()) {
            startNode(n);
        }
    }

    private void registerNode(String name) throws IOException {
        generations.merge(name, 1, Integer::sum);
        String vm =
                """
                {"id": "%s", "role": "entry", "zone": "%s", "address": "127.0.0.1:%d",
                 "service": "", "models": [], "state": "live"}
                """;
        http.post(
                url("platform") + "/control/vms",
                "",
                String.format(vm, vmId(name), zoneOf(name), port(name + "-peer")));
    }

    /** Starts the daemon {@code name}, also again after its end. */
    public void startNode(String name) throws IOException {
        registerNode(name);
        Path settings = runDir.resolve(name + ".toml");
        Files.writeString(settings, settingsOf(name));
        List<String> command = new ArrayList<>();
        if (!plan.nodeJavaOptions().isEmpty()) {
            command.addAll(List.of("env", "CAROBDOORD_JAVA_OPTS=" + plan.nodeJavaOptions()));
        }
        command.addAll(
                List.of(
                        root.resolve("bin/carobdoord").toString(),
                        "--settings",
                        settings.toString()));
        processes.put(name, ChildProcess.start(name, command, runDir.resolve(name + ".log")));
    }

    private void startEngineProcess(String name) throws IOException {
        String tokenMillis = Double.toString(plan.tokenMillis());
        startStandIn(
                name, "engine", "--id", name, "--models", "draft", "--token-millis", tokenMillis);
    }

    /** Starts an engine again after its end, as a new VM. */
    public void replaceEngine(String name) throws IOException {
        process(name).close();
        // The new VM has the address of the old one, which must not stay on the list beside it.
        http.send("DELETE", url("platform") + "/cloud/vms/" + vmId(name), "", null, Map.of());
        startEngineProcess(name);
        await(name, url(name) + "/ledger");
        register(name, "engine");
    }

    /** Returns the platform's identifier of the VM that runs the stand-in {@code name} now. */
    public String vmId(String name) {
        return "vm-" + name + "-" + generations.getOrDefault(name, 0);
    }

    private void startStandIn(String name, String kind, String... options) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(root.resolve("bin/standins").toString());
        command.addAll(List.of(kind, "--port", Integer.toString(port(name))));
        command.addAll(List.of(options));
        processes.put(name, ChildProcess.start(name, command, runDir.resolve(name + ".log")));
    }

    private void register(String name, String service) throws IOException {
        generations.merge(name, 1, Integer::sum);
        String models = service.equals("engine") ? "\"draft\"" : "";
        String vm =
                """
                {"id": "%s", "role": "endpoint", "zone": "%s", "address": "127.0.0.1:%d",
                 "service": "%s", "models": [%s], "state": "live"}
                """;
        http.post(
                url("platform") + "/control/vms",
                "",
                String.format(vm, vmId(name), zoneOf(name), port(name), service, models));
    }

    private String settingsOf(String name) {
        List<String> seeds = new ArrayList<>();
        for (String n : nodeNames()) {
            if (!n.equals(name)) {
                seeds.add("\"127.0.0.1:" + port(n + "-peer") + "\"");
            }
        }
        return """
        [node]
        name = "%s"
        vm_id = "%s"
        availability_zone = "%s"
        [listen]
        http = "127.0.0.1:%d"
        peer = "127.0.0.1:%d"
        [platform]
        url = "%s"
        [peers]
        seeds = [%s]
        cluster_keys = ["local-cluster-key-0001"]
        [operators]
        keys = ["%s"]
        [[client_accounts]]
        name = "%s"
        keys = ["%s"]
        """
                .formatted(
                        name.replace("-", "_"),
                        vmId(name),
                        zoneOf(name),
                        port(name),
                        port(name + "-peer"),
                        url("platform"),
                        String.join(", ", seeds),
                        OPERATOR_KEY,
                        ACCOUNT,
                        CALLER_KEY);
    }

    /** Waits until all daemons report that they are ready. */
    public void awaitReady(Duration timeout) throws IOException {
        Instant deadline = Instant.now().plus(timeout);
        for (String n : nodeNames()) {
            awaitNode(n, deadline);
        }
    }

    /** Waits until the daemon {@code name} reports that it is ready. */
    public void awaitNode(String name, Instant deadline) throws IOException {
        awaitUrl(name, url(name) + "/readyz", deadline);
    }

    private void await(String name, String url) throws IOException {
        awaitUrl(name, url, Instant.now().plus(PROCESS_START));
    }

    private void awaitUrl(String name, String url, Instant deadline) throws IOException {
        while (!http.isOk(url)) {
            ChildProcess p = processes.get(name);
            if (p == null || !p.isAlive() || Instant.now().isAfter(deadline)) {
                String output = p == null ? "" : p.output();
                throw new IOException(name + " did not answer " + url + "; its log:\n" + output);
            }
            pause();
        }
    }

    private static void pause() {
        try {
            Thread.sleep(50);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the base URL of the process {@code name}. */
    public String url(String name) {
        return "http://127.0.0.1:" + port(name);
    }

    private int port(String name) {
        Integer port = ports.get(name);
        if (port == null) {
            throw new IllegalArgumentException("no process " + name);
        }
        return port;
    }

    /** Returns the process {@code name}. */
    public ChildProcess process(String name) {
        ChildProcess p = processes.get(name);
        if (p == null) {
            throw new IllegalArgumentException("no process " + name);
        }
        return p;
    }

    /** Returns the client for calls to the processes. */
    public HttpProbe http() {
        return http;
    }

    /** Returns the names of the daemons, {@code node-<zone>-<number>}. */
    public List<String> nodeNames() {
        return names("node", plan.nodesPerZone());
    }

    /** Returns the names of the engines. */
    public List<String> engineNames() {
        return names("engine", plan.enginesPerZone());
    }

    /** Returns the names of the plain services. */
    public List<String> serviceNames() {
        return names("service", plan.servicesPerZone());
    }

    /** Returns the availability zone of a process by its name. */
    public static String zoneOf(String name) {
        return "zone-" + name.split("-")[1];
    }

    private List<String> names(String kind, int perZone) {
        List<String> names = new ArrayList<>();
        for (int z = 0; z < plan.zones(); z++) {
            for (int i = 1; i <= perZone; i++) {
                names.add(kind + "-" + (char) ('a' + z) + "-" + i);
            }
        }
        return names;
    }

    /**
     * Finds free ports below the range from which the system takes the local ports of outgoing
     * connections, so that no connection holds the port of a daemon while it is down.
     */
    private void allocatePorts(List<String> names) throws IOException {
        int next = FIRST_PORT + (int) (ProcessHandle.current().pid() * 97 % PORT_RANGE);
        for (String name : names) {
            while (!isFree(next)) {
                next++;
            }
            ports.put(name, next++);
        }
    }

    private static boolean isFree(int port) {
        try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return s.isBound();
        } catch (IOException e) {
            return false;
        }
    }

    /** Kills all processes. */
    @Override
    public void close() {
        processes.values().forEach(ChildProcess::close);
        http.close();
    }
}
