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
 * A cluster of separate local processes: a platform, engines, plain HTTP services and daemons.
 *
 * <pre>{@code
 * try (LocalCluster cluster = LocalCluster.start(ClusterSpec.small(), Path.of("."), runDir)) {
 *     cluster.awaitReady(Duration.ofSeconds(30));
 * }
 * }</pre>
 */
public final class LocalCluster implements AutoCloseable {
    /** The API key of the only operator. */
    public static final String OPERATOR_KEY = "operator-key-0001";

    /** The API key of {@link #ACCOUNT}. */
    public static final String CALLER_KEY = "hay-account-key-01";

    /** The name of the only client account. */
    public static final String ACCOUNT = "hay";

    private static final int FIRST_PORT = 12_000;
    private static final int PORT_RANGE_SIZE = 15_000;
    private static final Duration PROCESS_START_TIMEOUT = Duration.ofSeconds(30);

    private final Path root;
    private final Path runDir;
    private final ClusterSpec spec;
    private final ClusterHttpClient http = ClusterHttpClient.create();
    private final Map<String, ChildProcess> processes = new LinkedHashMap<>();
    private final Map<String, Integer> ports = new LinkedHashMap<>();
    private final Map<String, Integer> vmGenerations = new LinkedHashMap<>();

    private LocalCluster(Path root, Path runDir, ClusterSpec spec) {
        this.root = root;
        this.runDir = runDir;
        this.spec = spec;
    }

    /**
     * Starts all processes. Engines and services are ready on return; daemons may not be, see
     * {@link #awaitReady}.
     *
     * @param root the project root, whose {@code bin} scripts start the processes
     * @param runDir the directory for settings files and logs
     */
    public static LocalCluster start(ClusterSpec spec, Path root, Path runDir) throws IOException {
        Files.createDirectories(runDir);
        LocalCluster cluster = new LocalCluster(root, runDir, spec);
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
        String tokenMillis = Double.toString(spec.tokenMillis());
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
            registerEndpoint(e, "engine");
        }
        for (String s : serviceNames()) {
            await(s, url(s) + "/ledger");
            registerEndpoint(s, "auction");
        }
        for (String n : nodeNames()) {
            startNode(n);
        }
    }

    private void registerNode(String name) throws IOException {
        vmGenerations.merge(name, 1, Integer::sum);
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

    /** Starts or restarts the daemon {@code name}; each start is registered as a new VM. */
    public void startNode(String name) throws IOException {
        registerNode(name);
        Path settings = runDir.resolve(name + ".toml");
        Files.writeString(settings, nodeSettings(name));
        List<String> command = new ArrayList<>();
        if (!spec.nodeJavaOptions().isEmpty()) {
            command.addAll(List.of("env", "CAROBDOORD_JAVA_OPTS=" + spec.nodeJavaOptions()));
        }
        command.addAll(
                List.of(
                        root.resolve("bin/carobdoord").toString(),
                        "--settings",
                        settings.toString()));
        processes.put(name, ChildProcess.start(name, command, runDir.resolve(name + ".log")));
    }

    private void startEngineProcess(String name) throws IOException {
        String tokenMillis = Double.toString(spec.tokenMillis());
        startStandIn(
                name, "engine", "--id", name, "--models", "draft", "--token-millis", tokenMillis);
    }

    /** Replaces an engine with a new process, registered as a new VM. */
    public void replaceEngine(String name) throws IOException {
        process(name).close();
        // The new VM reuses the address of the old one, so the old one must be removed from the
        // list.
        http.send("DELETE", url("platform") + "/cloud/vms/" + vmId(name), "", null, Map.of());
        startEngineProcess(name);
        await(name, url(name) + "/ledger");
        registerEndpoint(name, "engine");
    }

    /** Returns the platform's identifier of the VM that currently runs the process {@code name}. */
    public String vmId(String name) {
        return "vm-" + name + "-" + vmGenerations.getOrDefault(name, 0);
    }

    private void startStandIn(String name, String kind, String... options) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(root.resolve("bin/standins").toString());
        command.addAll(List.of(kind, "--port", Integer.toString(port(name))));
        command.addAll(List.of(options));
        processes.put(name, ChildProcess.start(name, command, runDir.resolve(name + ".log")));
    }

    private void registerEndpoint(String name, String service) throws IOException {
        vmGenerations.merge(name, 1, Integer::sum);
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

    private String nodeSettings(String name) {
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
        awaitUrl(name, url, Instant.now().plus(PROCESS_START_TIMEOUT));
    }

    private void awaitUrl(String name, String url, Instant deadline) throws IOException {
        while (!http.isOk(url)) {
            ChildProcess p = processes.get(name);
            if (p == null || !p.isAlive() || Instant.now().isAfter(deadline)) {
                String output = p == null ? "" : p.output();
                throw new IOException(name + " is not ready at " + url + "; log:\n" + output);
            }
            sleepBetweenPolls();
        }
    }

    private static void sleepBetweenPolls() {
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
            throw new IllegalArgumentException("unknown process " + name);
        }
        return port;
    }

    /** Returns the current process of {@code name}. */
    public ChildProcess process(String name) {
        ChildProcess p = processes.get(name);
        if (p == null) {
            throw new IllegalArgumentException("unknown process " + name);
        }
        return p;
    }

    /** Returns the HTTP client of the cluster. */
    public ClusterHttpClient http() {
        return http;
    }

    /** Returns the names of the daemons, {@code node-<zone>-<number>}. */
    public List<String> nodeNames() {
        return names("node", spec.nodesPerZone());
    }

    /** Returns the names of the engines, {@code engine-<zone>-<number>}. */
    public List<String> engineNames() {
        return names("engine", spec.enginesPerZone());
    }

    /** Returns the names of the plain HTTP services, {@code service-<zone>-<number>}. */
    public List<String> serviceNames() {
        return names("service", spec.servicesPerZone());
    }

    /** Returns the availability zone that is encoded in a process name. */
    public static String zoneOf(String name) {
        return "zone-" + name.split("-")[1];
    }

    private List<String> names(String kind, int perZone) {
        List<String> names = new ArrayList<>();
        for (int z = 0; z < spec.zones(); z++) {
            for (int i = 1; i <= perZone; i++) {
                names.add(kind + "-" + (char) ('a' + z) + "-" + i);
            }
        }
        return names;
    }

    /**
     * Finds free ports below the ephemeral port range of the system. Otherwise an outgoing
     * connection could occupy the port of a daemon while the daemon is down.
     */
    private void allocatePorts(List<String> names) throws IOException {
        int next = FIRST_PORT + (int) (ProcessHandle.current().pid() * 97 % PORT_RANGE_SIZE);
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

    /** Kills all processes and closes the HTTP client. */
    @Override
    public void close() {
        processes.values().forEach(ChildProcess::close);
        http.close();
    }
}
