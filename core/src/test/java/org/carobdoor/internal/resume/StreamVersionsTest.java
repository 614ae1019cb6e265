package org.carobdoor.internal.resume;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against streams that are continued at another version than the one that began them, and
 * against streams that are not continued though their version can be told.
 */
final class StreamVersionsTest {
    private static final StoredStarts NOTHING = StoredStarts.union(List.of());
    private static final ResumeDecision UNKNOWN = new ResumeDecision.Unknown();
    private static final ResumeDecision ASK = new ResumeDecision.AskStore();
    private static final ResumeDecision V1 = new ResumeDecision.Only("v1");

    private static long s(double seconds) {
        return (long) (seconds * TimeUnit.SECONDS.toNanos(1));
    }

    @Test
    void onlyVersionSinceTheFirstStartContinuesAnyStream() {
        StreamVersions node = StreamVersions.create(true);
        node.recordListed("llm", Set.of("v1"), s(1));
        assertThat(node.decide("r-1", "llm", true, s(1))).isEqualTo(V1);
        assertThat(node.decide("r-1", "llm", false, s(1))).isEqualTo(ASK);
    }

    @Test
    void restartedNodeAsksWhichVersionsServedBefore() {
        StreamVersions node = StreamVersions.create(false);
        node.recordListed("llm", Set.of("v1"), s(1));
        assertThat(node.decide("r-1", "llm", true, s(2))).isEqualTo(ASK);
        OptionalLong old = OptionalLong.of(60_000);
        assertThat(node.decide("r-1", "llm", NOTHING, old, s(2))).isEqualTo(V1);
        OptionalLong young = OptionalLong.of(3_000);
        assertThat(node.decide("r-1", "llm", NOTHING, young, s(2))).isEqualTo(UNKNOWN);
        StoredStarts mixed = new StoredStarts(Map.of(), Set.of("llm"));
        assertThat(node.decide("r-1", "llm", mixed, old, s(2))).isEqualTo(UNKNOWN);
    }

    @Test
    void streamIsKnownToItsNodeAndInTheStoreUnderItsServiceOnly() {
        StreamVersions node = StreamVersions.create(false);
        node.recordListed("llm", Set.of("v1", "v2"), s(1));
        node.recordSent("r-1", new StreamStart("llm", "v1"), s(9));
        assertThat(node.decide("r-1", "llm", true, s(2))).isEqualTo(V1);
        assertThat(node.decide("r-1", "other", true, s(2))).isEqualTo(ASK);
        StoredStarts stored = node.takeUnpublished(s(2)).orElseThrow();
        StreamVersions other = StreamVersions.create(false);
        other.recordListed("llm", Set.of("v2"), s(3));
        OptionalLong old = OptionalLong.of(60_000);
        assertThat(other.decide("r-1", "llm", stored, old, s(3))).isEqualTo(V1);
        assertThat(other.decide("r-1", "desk", stored, old, s(3))).isEqualTo(UNKNOWN);
        assertThat(other.decide("r-2", "llm", stored, old, s(3))).isEqualTo(UNKNOWN);
    }

    @Test
    void startsAreWrittenOnceAndOnlyWhileSeveralVersionsServe() {
        StreamVersions node = StreamVersions.create(true);
        node.recordListed("llm", Set.of("v1"), s(1));
        node.recordSent("r-1", new StreamStart("llm", "v1"), s(60));
        assertThat(node.takeUnpublished(s(2))).isEmpty();
        assertThat(node.publishedVersion("r-1")).isEmpty();
        node.recordListed("llm", Set.of("v1", "v2"), s(3));
        assertThat(node.takeUnpublished(s(3)).orElseThrow().starts()).hasSize(1);
        assertThat(node.publishedVersion("r-1")).hasValue("v1");
        assertThat(node.takeUnpublished(s(4))).isEmpty();
        node.publishFailed();
        assertThat(node.takeUnpublished(s(4))).isPresent();
        node.recordListed("llm", Set.of("v2"), s(40));
        node.recordSent("r-2", new StreamStart("llm", "v2"), s(60));
        assertThat(node.takeUnpublished(s(40))).isEmpty();
    }

    @Test
    void streamsAreForgottenWhenTheirCallersNoLongerWait() {
        StreamVersions node = StreamVersions.create(true);
        for (int i = 0; i < 1_000; i++) {
            node.recordSent("r-" + i, new StreamStart("llm", "v1"), s(i));
        }
        node.expire(s(900.5));
        assertThat(node.size()).isEqualTo(99);
    }

    @Test
    void startThatNodesHaveRecordedDifferentlyIsUnknown() {
        StoredStarts a = new StoredStarts(Map.of("r", new StreamStart("llm", "v1")), Set.of());
        StoredStarts b = new StoredStarts(Map.of("r", new StreamStart("llm", "v2")), Set.of("llm"));
        assertThat(StoredStarts.union(List.of(a, b, a)).starts()).isEmpty();
        assertThat(StoredStarts.union(List.of(a, b)).mixedServices()).containsExactly("llm");
    }

    /** A version of the service, with its endpoints' earliest start. */
    private record Served(String version, long sinceNanos) {}

    private record Stream(String id, String version, long begunNanos) {}

    /** Nodes, a store with leases, callers and a service whose versions come and go. */
    private static final class Simulation {
        private static final int NODES = 5;
        private final SplittableRandom random;
        private final List<Served> served = new ArrayList<>();
        private final StreamVersions[] nodes = new StreamVersions[NODES];
        private final String[] keys = new String[NODES];
        private final Map<String, StoredStarts> store = new HashMap<>();
        private final Map<String, Long> leaseEnds = new HashMap<>();
        private final List<Stream> streams = new ArrayList<>();
        private long now = s(1);
        private int next;
        private int resumed;
        private int refused;

        Simulation(long seed) {
            random = new SplittableRandom(seed);
            served.add(new Served("v0", 0));
            for (int i = 0; i < NODES; i++) {
                restart(i, true);
            }
        }

        private void restart(int node, boolean first) {
            nodes[node] = StreamVersions.create(first);
            keys[node] = "run-" + next++;
            nodes[node].recordStored(StoredStarts.union(store.values()), now);
        }

        void run() {
            for (int i = 0; i < 4_000; i++) {
                now += s(0.05);
                Set<String> listed = new HashSet<>();
                served.forEach(v -> listed.add(v.version));
                for (StreamVersions n : nodes) {
                    n.recordListed("llm", listed, now);
                    n.expire(now);
                }
                step();
                for (int n = 0; n < NODES; n++) {
                    publish(n);
                }
                leaseEnds.entrySet().removeIf(e -> e.getValue() < now);
                store.keySet().retainAll(leaseEnds.keySet());
            }
        }

        private void publish(int node) {
            if (random.nextInt(5) == 0) {
                nodes[node].takeUnpublished(now).ifPresent(r -> store.put(keys[node], r));
            }
            if (nodes[node].isAnyMixed(now)) {
                leaseEnds.put(keys[node], now + StreamVersions.MIXED_MEMORY_NANOS);
            }
        }

        private void step() {
            int event = random.nextInt(200);
            if (event == 0 && served.size() == 1) {
                served.add(new Served("v" + next++, now));
            } else if (event == 1 && served.size() > 1) {
                served.remove(random.nextInt(served.size()));
            } else if (event == 2) {
                for (int i = 0; i < NODES; i++) {
                    restart(i, false);
                }
                takeUpAll();
            } else if (event < 6) {
                restart(random.nextInt(NODES), false);
                takeUpAll();
            } else if (event < 150) {
                begin();
            }
        }

        private void begin() {
            String version = served.get(random.nextInt(served.size())).version;
            String id = "r-" + next++;
            nodes[random.nextInt(NODES)].recordSent(
                    id, new StreamStart("llm", version), now + s(5));
            streams.add(new Stream(id, version, now));
        }

        private void takeUpAll() {
            for (Stream stream : streams) {
                if (now - stream.begunNanos < s(3)) {
                    takeUp(stream);
                }
            }
            streams.clear();
        }

        private void takeUp(Stream stream) {
            StreamVersions node = nodes[random.nextInt(NODES)];
            Set<String> listed = new HashSet<>();
            served.forEach(v -> listed.add(v.version));
            node.recordListed("llm", listed, now);
            ResumeDecision decision = node.decide(stream.id, "llm", true, now);
            if (decision instanceof ResumeDecision.AskStore) {
                long first = served.stream().mapToLong(Served::sinceNanos).min().orElse(now);
                OptionalLong age = OptionalLong.of(TimeUnit.NANOSECONDS.toMillis(now - first));
                StoredStarts all = StoredStarts.union(store.values());
                decision = node.decide(stream.id, "llm", all, age, now);
            }
            if (decision instanceof ResumeDecision.Only(String version)) {
                assertThat(version).isEqualTo(stream.version);
                resumed++;
            } else {
                refused++;
            }
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void streamsKeepTheirVersionThroughRestartsOfAllNodes(long seed) {
        Simulation simulation = new Simulation(seed);
        simulation.run();
        assertThat(simulation.resumed).isAtLeast(12);
        assertThat(simulation.resumed).isGreaterThan(2 * simulation.refused);
    }
}
