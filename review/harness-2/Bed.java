import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** What the cases share: processes of the system, a record, and small HTTP/1.1 peers. */
final class Bed implements AutoCloseable {
    /** A message with its head, lower-case headers, and body. */
    record Message(String line, Map<String, String> headers, byte[] body) {
        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** A node of the system. */
    final class Node {
        final String name;
        final String ip;
        final String zone;
        final int front;
        final int ready;
        private final int peer;
        private final int metrics;
        private Process process;

        Node(String name, String ip, String zone) throws IOException {
            this.name = name;
            this.ip = ip;
            this.zone = zone;
            front = freePort(ip);
            ready = freePort(ip);
            peer = freePort(ip);
            metrics = freePort(ip);
        }

        void start(boolean first) throws IOException {
            Path settings = folder.resolve(name + ".toml");
            Files.writeString(settings, settings(first));
            List<String> command = new ArrayList<>();
            for (String word : deployCommand()) {
                command.add(word.equals("/etc/carobdoor/node.toml") ? settings.toString() : word);
            }
            process = new ProcessBuilder(command)
                    .directory(root.toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(folder.resolve(name + ".log").toFile())
                    .start();
            processes.add(process);
            record("%s started as process %d", name, process.pid());
        }

        private String settings(boolean first) {
            return """
                    [node]
                    name = "%s"
                    availability_zone = "%s"
                    %s
                    [listen]
                    callers = "%s:%d"
                    readiness = "%s:%d"
                    peer = "%s:%d"
                    metrics = "%s:%d"
                    [peers]
                    cluster_keys = ["gateway-cluster-key-0001"]
                    [platform]
                    store = "%s"
                    cloud = "%s"
                    duties = ["usage","scale"]
                    [bounds]
                    stop_grace = "8s"
                    stale_limit = "3000ms"
                    endpoint_heartbeat = "1200ms"
                    duty_lease = "3000ms"
                    usage_window = "5s"
                    quota_window = "8s"
                    quota_tolerance = 0.1
                    quota_excess = 140000
                    retry_window = "10s"
                    retry_share = 0.2
                    retry_saved = 52
                    """
                    .formatted(name, zone, first ? "first_start = true" : "", ip, front, ip, ready,
                            ip, peer, ip, metrics, storeAddress, cloudAddress);
        }

        boolean alive() {
            return process != null && process.isAlive();
        }

        void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
            record("%s gets SIG%s", name, signal);
        }

        boolean waitFor(long millis) throws InterruptedException {
            return process.waitFor(millis, TimeUnit.MILLISECONDS);
        }

        boolean isReady() {
            try (Socket s = connect(ip, ready, 1_000)) {
                send(s, "GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", new byte[0]);
                return read(new BufferedInputStream(s.getInputStream()), "GET").status() == 200;
            } catch (IOException | RuntimeException e) {
                return false;
            }
        }

        String metric(String prefix) {
            try (Socket s = connect(ip, metrics, 2_000)) {
                send(s, "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", new byte[0]);
                return read(new BufferedInputStream(s.getInputStream()), "GET").text().lines()
                        .filter(l -> l.startsWith(prefix)).findFirst().orElse("");
            } catch (IOException | RuntimeException e) {
                return e.toString();
            }
        }

        long memoryMb() {
            try {
                return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                        .filter(l -> l.startsWith("VmRSS")).map(l -> l.replaceAll("\\D", ""))
                        .mapToLong(Long::parseLong).findFirst().orElse(0) >> 10;
            } catch (IOException e) {
                return 0;
            }
        }
    }

    final Path root;
    final Path folder;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final PrintStream out;
    private final long startNanos = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();
    private final HttpServer cloud;
    private final String cloudAddress;
    private String storeAddress = "";

    Bed(Path root, Path recordFile) throws IOException {
        this.root = root;
        folder = Files.createTempDirectory("review-2-");
        out = new PrintStream(Files.newOutputStream(recordFile), true, StandardCharsets.UTF_8);
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        cloud = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 64);
        cloud.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        cloud.createContext("/", x -> {
            try (x) {
                x.getRequestBody().readAllBytes();
                x.sendResponseHeaders(200, -1);
            }
        });
        cloud.start();
        cloudAddress = "127.0.0.1:" + cloud.getAddress().getPort();
        record("%s the disruption", trouble ? "with" : "without");
    }

    void setStore(String address) {
        storeAddress = address;
    }

    /** The body of a case: returns its exit code. */
    interface Case {
        int run() throws Exception;
    }

    /** Exits with the code of a case, or with 2 if it could not run. */
    static void exit(Case body) {
        int code = 2;
        try {
            code = body.run();
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    /** The words of run in the deploy file. */
    private List<String> deployCommand() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("deploy/system.toml has no run");
    }

    synchronized void record(String format, Object... args) {
        String line = "%8.3f s  ".formatted(seconds()) + format.formatted(args);
        out.println(line);
        System.out.println(line);
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return s.getLocalPort();
        }
    }

    static Socket connect(String ip, int port, int timeoutMillis) throws IOException {
        Socket s = new Socket();
        s.setTcpNoDelay(true);
        s.connect(new InetSocketAddress(ip, port), timeoutMillis);
        s.setSoTimeout(timeoutMillis);
        return s;
    }

    static void send(Socket s, String head, byte[] body) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        s.getOutputStream().write(all.toByteArray());
        s.getOutputStream().flush();
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream b = new ByteArrayOutputStream();
        int c = in.read();
        while (c >= 0 && c != '\n') {
            if (c != '\r') {
                b.write(c);
            }
            c = in.read();
        }
        if (c < 0) {
            throw new IOException("end of stream after " + b.size() + " bytes of a line");
        }
        return b.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads one message; {@code method} is that of the request it answers, or "" for a request. */
    static Message read(InputStream in, String method) throws IOException {
        String first = line(in);
        Map<String, String> headers = new TreeMap<>();
        for (String l = line(in); !l.isEmpty(); l = line(in)) {
            int colon = l.indexOf(':');
            headers.put(l.substring(0, colon).toLowerCase(), l.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
            for (int n = Integer.parseInt(line(in), 16); n > 0; n = Integer.parseInt(line(in), 16)) {
                body.write(in.readNBytes(n));
                line(in);
            }
            line(in);
        } else if (headers.containsKey("content-length")) {
            int n = Integer.parseInt(headers.get("content-length"));
            byte[] b = in.readNBytes(n);
            if (b.length < n) {
                throw new IOException("body ends after " + b.length + " of " + n + " bytes");
            }
            body.write(b);
        }
        return new Message(first, headers, body.toByteArray());
    }

    /** Waits until all nodes say that they are ready. */
    boolean awaitReady(List<Node> nodes, long millis) throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() - end < 0) {
            if (nodes.stream().allMatch(Node::isReady)) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    private void killAll() {
        for (Process p : processes) {
            p.destroyForcibly();
        }
    }

    @Override
    public void close() {
        killAll();
        cloud.stop(0);
        if (System.getenv("KEEP") != null) {
            System.out.println("kept " + folder);
            return;
        }
        try (var files = Files.list(folder)) {
            for (Path p : files.toList()) {
                Files.delete(p);
            }
            Files.delete(folder);
        } catch (IOException e) {
            System.out.println("cannot delete " + folder);
        }
    }

    /** A server of a service that gives large answers. */
    static final class LargeAnswerServer implements AutoCloseable {
        final String id;
        final Map<String, Integer> runs = new ConcurrentHashMap<>();
        private final int answerBytes;
        private final ServerSocket listener;

        LargeAnswerServer(String id, int answerBytes) throws IOException {
            this.id = id;
            this.answerBytes = answerBytes;
            listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
            Thread.ofVirtual().start(this::accept);
        }

        private void accept() {
            try {
                while (true) {
                    Socket s = listener.accept();
                    Thread.ofVirtual().start(() -> serve(s));
                }
            } catch (IOException e) {
                // Closed.
            }
        }

        private void serve(Socket s) {
            try (s) {
                InputStream in = new BufferedInputStream(s.getInputStream());
                while (true) {
                    String attempt = read(in, "").headers().get("x-attempt-id");
                    runs.merge(attempt, 1, Integer::sum);
                    send(s, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt
                            + "\r\nX-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: "
                            + answerBytes + "\r\n\r\n", new byte[answerBytes]);
                }
            } catch (IOException e) {
                // The node has closed the connection.
            }
        }

        String entry(String service, String zone) {
            return Server.entry(service, "127.0.0.1:" + listener.getLocalPort(), zone, 64);
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    /** A server of a service, which runs each request at once and notes its id. */
    static final class Server implements AutoCloseable {
        final String id;
        final Map<String, Integer> runs = new ConcurrentHashMap<>();
        final ServerSocket listener;
        volatile long workMillis = 10;

        Server(String id) throws IOException {
            this.id = id;
            listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
            Thread.ofVirtual().start(this::accept);
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private void accept() {
            try {
                while (true) {
                    Socket s = listener.accept();
                    Thread.ofVirtual().start(() -> serve(s));
                }
            } catch (IOException e) {
                // Closed.
            }
        }

        private void serve(Socket s) {
            try (s) {
                s.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(s.getInputStream());
                while (true) {
                    Message m = read(in, "");
                    String expected = m.headers().getOrDefault("x-expect-instance", id);
                    String attempt = m.headers().getOrDefault("x-attempt-id", "");
                    if (!expected.equals(id)) {
                        send(s, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + id
                                + "\r\nContent-Length: 0\r\n\r\n", new byte[0]);
                        continue;
                    }
                    runs.merge(attempt, 1, Integer::sum);
                    Thread.sleep(workMillis);
                    byte[] body = ("ran " + attempt).getBytes(StandardCharsets.UTF_8);
                    send(s, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt
                            + "\r\nX-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: "
                            + body.length + "\r\n\r\n", body);
                }
            } catch (IOException e) {
                // The node has closed the connection.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        String entry(String service, String zone, int slots) {
            return entry(service, address(), zone, slots);
        }

        static String entry(String service, String address, String zone, int slots) {
            return ("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
                    + "\"slots\":%d,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":4}")
                    .formatted(service, address, zone, slots);
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }
}
