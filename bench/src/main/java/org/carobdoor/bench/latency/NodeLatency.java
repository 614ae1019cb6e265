package org.carobdoor.bench.latency;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import okhttp3.Dispatcher;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;
import org.HdrHistogram.Histogram;
import org.carobdoor.bench.cluster.ClusterHttpClient;
import org.carobdoor.bench.cluster.ClusterSpec;
import org.carobdoor.bench.cluster.LocalCluster;
import org.carobdoor.bench.cluster.ProcessStats;
import org.carobdoor.bench.cluster.SampleEntries;

/**
 * Compares calls through one node of a {@link LocalCluster} with direct calls to the stand-ins in
 * the same run. Measures the added latency of service calls, bids and first tokens, the throughput
 * and CPU time of streamed tokens, and resident memory.
 */
public final class NodeLatency {
    private static final String NODE = "node-a-1";
    private static final int WARM_UP_CALLS = 3_000;
    private static final int CALLS = 5_000;
    private static final int BIDS = 500;
    private static final int OPEN_STREAMS = 1_000;
    private static final int BUSY_STREAMS = 100;
    private static final int TOKENS_PER_BUSY_STREAM = 400;

    /**
     * Low enough that admission accepts all open streams: 6 engines with 32,000 tokens of class 1
     * each.
     */
    private static final int TOKENS_PER_OPEN_STREAM = 150;

    /** Right after the start of a daemon, JIT compilation takes more CPU time than the tokens. */
    private static final int STREAM_WARM_UP_ROUNDS = 4;

    private static final double MICROS_PER_MILLI = 1_000;
    private static final long MIB = 1 << 20;

    private final LocalCluster cluster;
    private final ClusterHttpClient http;
    private final OkHttpClient streamClient;

    private NodeLatency(LocalCluster cluster) {
        this.cluster = cluster;
        this.http = cluster.http();
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(2 * OPEN_STREAMS);
        dispatcher.setMaxRequestsPerHost(2 * OPEN_STREAMS);
        this.streamClient =
                new OkHttpClient.Builder()
                        .dispatcher(dispatcher)
                        .readTimeout(Duration.ofMinutes(2))
                        .build();
    }

    /** Runs the measurement and prints a table in Markdown. */
    public static void main(String[] args) throws Exception {
        Path root = Path.of(args.length > 0 ? args[0] : ".").toAbsolutePath().normalize();
        Path runDir = Files.createTempDirectory("carobdoor-latency");
        ClusterSpec spec = new ClusterSpec(3, 1, 2, 1, 5, args.length > 1 ? args[1] : "");
        try (LocalCluster cluster = LocalCluster.start(spec, root, runDir)) {
            cluster.awaitReady(Duration.ofSeconds(60));
            new NodeLatency(cluster).run();
        }
    }

    private void run() throws Exception {
        SampleEntries.create(cluster);
        System.out.println(
                "| call | direct p50 | direct p99 | node p50 | node p99 | added p50 | added p99 |");
        System.out.println("|---|---|---|---|---|---|---|");
        measureServiceCalls();
        measureBids();
        measureFirstTokens();
        measureIdleNode();
        measureBusyStreams();
        measureOpenStreams();
    }

    private void measureServiceCalls() throws IOException {
        String direct = cluster.url("service-a-1") + "/checks/balance";
        String node = cluster.url(NODE) + "/services/checks/balance";
        for (int i = 0; i < WARM_UP_CALLS; i++) {
            timedGet(direct);
            timedGet(node);
        }
        Histogram directMicros = new Histogram(3);
        Histogram nodeMicros = new Histogram(3);
        for (int i = 0; i < CALLS; i++) {
            // Alternates the calls, so that interference on the machine affects both.
            directMicros.recordValue(timedGet(direct));
            nodeMicros.recordValue(timedGet(node));
        }
        printRow("balance check (GET), " + CALLS + " calls", directMicros, nodeMicros);
    }

    private void measureBids() throws IOException {
        String direct = cluster.url("service-a-1") + "/bids/lot-1";
        String node = cluster.url(NODE) + "/services/bids/lot-1";
        Histogram directMicros = new Histogram(3);
        Histogram nodeMicros = new Histogram(3);
        long second = System.currentTimeMillis() / 1_000;
        for (int i = 0; i < 2 * BIDS; i++) {
            long a = timedPost(direct, second + ":d" + i);
            long b = timedPost(node, second + ":n" + i);
            if (i >= BIDS) {
                directMicros.recordValue(a);
                nodeMicros.recordValue(b);
            }
        }
        printRow("bid (claimed, one at a time), " + BIDS + " calls", directMicros, nodeMicros);
    }

    private void measureFirstTokens() throws IOException {
        Histogram directMicros = new Histogram(3);
        Histogram nodeMicros = new Histogram(3);
        for (int i = 0; i < 2 * BIDS; i++) {
            long a = firstTokenMicros(cluster.url("engine-a-1"), "draft", i);
            long b = firstTokenMicros(cluster.url(NODE), "lot-drafts", i);
            if (i >= BIDS) {
                directMicros.recordValue(a);
                nodeMicros.recordValue(b);
            }
        }
        printRow("first token of a stream, " + BIDS + " streams", directMicros, nodeMicros);
    }

    private void measureIdleNode() throws Exception {
        Thread.sleep(2_000);
        long pid = cluster.process(NODE).pid();
        ProcessStats before = ProcessStats.of(pid);
        Thread.sleep(10_000);
        ProcessStats after = ProcessStats.of(pid);
        double percent = (after.cpuSeconds() - before.cpuSeconds()) * 10;
        System.out.printf(
                "%nidle node: %d MiB resident, %.1f%% of a core over 10 s%n",
                after.residentBytes() / MIB, percent);
    }

    private void measureBusyStreams() throws Exception {
        for (int i = 0; i < STREAM_WARM_UP_ROUNDS; i++) {
            runStreams(BUSY_STREAMS, TOKENS_PER_BUSY_STREAM, () -> {});
        }
        long pid = cluster.process(NODE).pid();
        ProcessStats before = ProcessStats.of(pid);
        long start = System.nanoTime();
        long tokens = runStreams(BUSY_STREAMS, TOKENS_PER_BUSY_STREAM, () -> {});
        double seconds = (System.nanoTime() - start) / 1e9;
        double cpu = ProcessStats.of(pid).cpuSeconds() - before.cpuSeconds();
        System.out.printf(
                "%d streams of %d tokens: %.0f tokens/s, %.0f tokens per core-second%n",
                BUSY_STREAMS, TOKENS_PER_BUSY_STREAM, tokens / seconds, tokens / cpu);
    }

    private void measureOpenStreams() throws Exception {
        long pid = cluster.process(NODE).pid();
        AtomicLong resident = new AtomicLong();
        long tokens =
                runStreams(
                        OPEN_STREAMS,
                        TOKENS_PER_OPEN_STREAM,
                        () -> {
                            try {
                                resident.set(ProcessStats.of(pid).residentBytes());
                            } catch (IOException e) {
                                resident.set(-1);
                            }
                        });
        System.out.printf(
                "%d open streams: %d MiB resident; %d of %d tokens arrived%n",
                OPEN_STREAMS,
                resident.get() / MIB,
                tokens,
                (long) OPEN_STREAMS * TOKENS_PER_OPEN_STREAM);
    }

    /**
     * Opens {@code count} streams, calls {@code allOpen} when each has delivered a token or after
     * 60 s, and returns the total number of tokens read.
     */
    private long runStreams(int count, int tokens, Runnable allOpen) throws Exception {
        AtomicLong total = new AtomicLong();
        CountDownLatch open = new CountDownLatch(count);
        CountDownLatch done = new CountDownLatch(count);
        for (int i = 0; i < count; i++) {
            int streamNumber = i;
            Thread.ofVirtual()
                    .start(
                            () -> {
                                total.addAndGet(readStream(streamNumber, tokens, open));
                                done.countDown();
                            });
        }
        open.await(60, TimeUnit.SECONDS);
        allOpen.run();
        done.await(120, TimeUnit.SECONDS);
        return total.get();
    }

    private long readStream(int n, int tokens, CountDownLatch open) {
        Request request = streamRequest(cluster.url(NODE), "lot-drafts", n, tokens);
        long read = 0;
        try (Response r = streamClient.newCall(request).execute()) {
            BufferedSource source = r.body().source();
            String line = source.readUtf8Line();
            while (line != null) {
                if (line.contains("\"content\":\"") && !line.contains("\"content\":\"\"")) {
                    read++;
                    if (read == 1) {
                        open.countDown();
                    }
                }
                line = source.readUtf8Line();
            }
        } catch (IOException e) {
            System.err.println("stream " + n + ": " + e);
        }
        return read;
    }

    private long firstTokenMicros(String url, String model, int n) throws IOException {
        Request request = streamRequest(url, model, n, 1);
        long start = System.nanoTime();
        try (Response r = streamClient.newCall(request).execute()) {
            r.body().source().readUtf8Line();
            long micros = (System.nanoTime() - start) / 1_000;
            r.body().string();
            return micros;
        }
    }

    private static Request streamRequest(String url, String model, int n, int tokens) {
        String json =
                """
                {"model": "%s", "stream": true, "max_tokens": %d,
                 "messages": [{"role": "user", "content": "lot %d"}]}
                """
                        .formatted(model, tokens, n);
        return new Request.Builder()
                .url(url + "/v1/chat/completions")
                .header("Authorization", "Bearer " + LocalCluster.CALLER_KEY)
                .post(RequestBody.create(json, MediaType.get("application/json")))
                .build();
    }

    private long timedGet(String url) throws IOException {
        long start = System.nanoTime();
        ClusterHttpClient.HttpResult a = http.get(url, LocalCluster.CALLER_KEY);
        return elapsedMicros(a, start);
    }

    private long timedPost(String url, String key) throws IOException {
        long start = System.nanoTime();
        Map<String, String> headers = Map.of("Idempotency-Key", key);
        ClusterHttpClient.HttpResult a =
                http.send("POST", url, LocalCluster.CALLER_KEY, "{}", headers);
        return elapsedMicros(a, start);
    }

    private static long elapsedMicros(ClusterHttpClient.HttpResult answer, long start)
            throws IOException {
        long micros = (System.nanoTime() - start) / 1_000;
        if (answer.status() != 200) {
            throw new IOException("status " + answer.status() + ": " + answer.body());
        }
        return micros;
    }

    private static void printRow(String label, Histogram direct, Histogram node) {
        System.out.print("| " + label);
        for (Histogram h : List.of(direct, node)) {
            for (double percentile : new double[] {50, 99}) {
                System.out.printf(" | %.2f ms", percentileMillis(h, percentile));
            }
        }
        System.out.printf(
                " | %.2f ms | %.2f ms |%n",
                percentileMillis(node, 50) - percentileMillis(direct, 50),
                percentileMillis(node, 99) - percentileMillis(direct, 99));
    }

    private static double percentileMillis(Histogram h, double percentile) {
        return h.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
}
