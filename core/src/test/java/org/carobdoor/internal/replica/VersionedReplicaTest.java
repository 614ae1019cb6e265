package org.carobdoor.internal.replica;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.carobdoor.Bytes;
import org.carobdoor.message.ReplicaItem;
import org.junit.jupiter.api.Test;

/** Guards against items that return to an older version and replicas that do not converge. */
final class VersionedReplicaTest {
    private static final MergeRule LIFECYCLE_RULE =
            new MergeRule.LaterLifeWins(i -> i.value().toByteArray()[0]);

    @Test
    void higherRevisionWins() {
        VersionedReplica r = replica();
        assertThat(r.apply(List.of(entry("entry/a", 2)))).hasSize(1);
        assertThat(r.apply(List.of(entry("entry/a", 1), entry("entry/a", 2)))).isEmpty();
        assertThat(r.get("entry/a")).hasValue(entry("entry/a", 2));
    }

    @Test
    void tombstoneIsNotUndoneByAnOlderRevision() {
        VersionedReplica r = replica();
        ReplicaItem tombstone = new ReplicaItem("entry/a", 3, true, Bytes.empty());
        r.apply(List.of(entry("entry/a", 2), tombstone, entry("entry/a", 2)));
        assertThat(r.list("entry/")).containsExactly(tombstone);
    }

    @Test
    void laterLifecycleStateWinsOverHigherRevision() {
        VersionedReplica r = replica();
        r.apply(List.of(endpoint("endpoint/vm", 5, 2), endpoint("endpoint/vm", 9, 1)));
        assertThat(r.get("endpoint/vm")).hasValue(endpoint("endpoint/vm", 5, 2));
        assertThat(r.apply(List.of(endpoint("endpoint/vm", 1, 3)))).hasSize(1);
    }

    @Test
    void replicasConvergeUnderLossReorderingAndRepetition() {
        for (long seed = 0; seed < 30; seed++) {
            converge(seed, new Random(seed));
        }
    }

    private static void converge(long seed, Random random) {
        List<VersionedReplica> nodes = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            nodes.add(replica());
        }
        Map<String, ReplicaItem> greatest = new HashMap<>();
        List<ReplicaItem> sent = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            ReplicaItem item = randomItem(random);
            MergeRule rule =
                    item.key().startsWith("endpoint/")
                            ? LIFECYCLE_RULE
                            : new MergeRule.HigherRevisionWins();
            greatest.merge(item.key(), item, (a, b) -> rule.compare(a, b) >= 0 ? a : b);
            nodes.get(random.nextInt(5)).apply(List.of(item));
            sent.add(item);
        }
        Collections.shuffle(sent, random);
        for (ReplicaItem item : sent) {
            nodes.get(random.nextInt(5)).apply(List.of(item));
        }
        for (int i = 0; i < 5000; i++) {
            VersionedReplica to = nodes.get(random.nextInt(5));
            VersionedReplica from = nodes.get(random.nextInt(5));
            List<ReplicaItem> reply = from.differing(to.bucketDigests(), random.nextInt(128), 300);
            if (random.nextInt(3) > 0) {
                to.apply(reply);
            }
        }
        for (VersionedReplica r : nodes) {
            assertWithMessage("seed %s", seed)
                    .that(r.list(""))
                    .containsExactlyElementsIn(greatest.values());
            assertWithMessage("seed %s", seed).that(r.digest()).isEqualTo(nodes.get(0).digest());
        }
    }

    @Test
    void equalReplicasExchangeNothing() {
        VersionedReplica a = replica();
        VersionedReplica b = replica();
        List<ReplicaItem> items = List.of(entry("entry/a", 1), entry("entry/b", 7));
        a.apply(items);
        b.apply(items.reversed());
        assertThat(a.differing(b.bucketDigests(), 0, 1 << 20)).isEmpty();
        assertThat(a.digest()).isEqualTo(b.digest());
    }

    @Test
    void concurrentWritesNeverDecreaseARevision() throws Exception {
        VersionedReplica r = replica();
        try (ExecutorService pool = Executors.newFixedThreadPool(4)) {
            List<Future<?>> done = new ArrayList<>();
            for (int t = 0; t < 3; t++) {
                Random random = new Random(t);
                done.add(
                        pool.submit(
                                () -> {
                                    for (int i = 0; i < 20_000; i++) {
                                        r.apply(List.of(entry("entry/a", random.nextInt(20_000))));
                                    }
                                }));
            }
            done.add(pool.submit(() -> assertRevisionNeverDecreases(r)));
            for (Future<?> f : done) {
                f.get();
            }
        }
        VersionedReplica fresh = replica();
        fresh.apply(r.list(""));
        assertThat(r.digest()).isEqualTo(fresh.digest());
    }

    private static void assertRevisionNeverDecreases(VersionedReplica r) {
        long last = 0;
        for (int i = 0; i < 50_000; i++) {
            long now = r.get("entry/a").map(ReplicaItem::revision).orElse(0L);
            assertThat(now).isAtLeast(last);
            last = now;
        }
    }

    private static ReplicaItem randomItem(Random random) {
        int n = random.nextInt(25);
        int revision = random.nextInt(12);
        if (random.nextInt(6) == 0) {
            String key = (random.nextBoolean() ? "entry/" : "endpoint/") + n;
            return new ReplicaItem(key, revision, true, Bytes.empty());
        }
        return random.nextBoolean()
                ? entry("entry/" + n, revision)
                : endpoint("endpoint/" + n, revision, 1 + random.nextInt(3));
    }

    private static VersionedReplica replica() {
        return VersionedReplica.create(Map.of("endpoint/", LIFECYCLE_RULE));
    }

    private static ReplicaItem entry(String key, long revision) {
        return new ReplicaItem(key, revision, false, Bytes.utf8("text of " + revision));
    }

    private static ReplicaItem endpoint(String key, long revision, int state) {
        return new ReplicaItem(key, revision, false, Bytes.of(new byte[] {(byte) state}));
    }
}
