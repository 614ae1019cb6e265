package org.carobdoor.internal.directory;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.EndpointId;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against endpoints that a node uses again after it has seen that they leave: watches, lists
 * of several pages and copies of peers arrive in any order.
 */
final class EndpointDirectorySimulationTest {
    private static final int NODES = 5;
    private static final int ENDPOINTS = 6;
    private static final int STEPS = 2_000;

    /** A write or, with an entry that is null, a removal. */
    private record Change(EndpointId id, @Nullable EndpointEntry entry, long revision) {
        boolean ends() {
            return entry == null || !entry.accepting();
        }
    }

    private static final class Store {
        final List<Change> history = new ArrayList<>();
        final Map<EndpointId, Change> current =
                new TreeMap<>((a, b) -> a.value().compareTo(b.value()));
        final Map<EndpointId, Long> born = new HashMap<>();
        long revision = 1;

        void changeOne(SplittableRandom random) {
            EndpointId id = new EndpointId("i-" + random.nextInt(ENDPOINTS));
            Change before = current.get(id);
            revision++;
            if (before == null) {
                write(id, true, born.merge(id, 1L, Long::sum));
            } else if (before.ends() || random.nextInt(4) == 0) {
                history.add(new Change(id, null, revision));
                current.remove(id);
            } else {
                write(id, random.nextBoolean(), born.getOrDefault(id, 0L));
            }
        }

        private void write(EndpointId id, boolean accepting, long startedAt) {
            // The warm-up time carries the revision, so that the check can tell writes apart.
            EndpointEntry e =
                    new EndpointEntry(
                            id,
                            "llm",
                            new InetSocketAddress("127.0.0.1", 9),
                            new AvailabilityZone("a"),
                            accepting,
                            4,
                            revision,
                            startedAt,
                            0,
                            false,
                            OptionalLong.empty());
            Change c = new Change(id, e, revision);
            history.add(c);
            current.put(id, c);
        }

        List<Change> after(long from) {
            return history.stream().filter(c -> c.revision > from).toList();
        }
    }

    private static final class Node {
        final EndpointDirectory directory =
                EndpointDirectory.create(
                        new DirectoryListener() {
                            @Override
                            public void started(EndpointEntry entry, EndpointNews news) {}

                            @Override
                            public void changed(
                                    EndpointEntry before, EndpointEntry after, EndpointNews news) {}

                            @Override
                            public void removed(EndpointEntry last, EndpointNews news) {}
                        });

        /** The revision up to which this node has been told all changes. */
        long seen;

        long watched;
        List<Change> firstPage = List.of();
        long firstPageRevision;

        void watch(Store store) {
            NewsSource source = NewsSource.watch(0);
            for (Change c : store.after(watched)) {
                if (c.entry != null) {
                    directory.put(c.entry, c.revision, source);
                } else {
                    directory.remove(c.id, c.revision, source, 0);
                }
            }
            directory.advance(store.revision);
            watched = store.revision;
            seen = Math.max(seen, store.revision);
        }

        void readFirstPage(Store store) {
            firstPage = page(store, true);
            firstPageRevision = store.revision;
        }

        void readLastPage(Store store) {
            if (firstPageRevision > 0) {
                List<Change> all = new ArrayList<>(firstPage);
                all.addAll(page(store, false));
                replaceAll(all, firstPageRevision, NewsSource.list(0));
                watched = firstPageRevision;
                firstPageRevision = 0;
            }
        }

        private static List<Change> page(Store store, boolean first) {
            return store.current.values().stream()
                    .filter(c -> (c.id.value().compareTo("i-" + ENDPOINTS / 2) < 0) == first)
                    .toList();
        }

        void copyFrom(Node peer) {
            if (peer.directory.revision() > directory.revision()) {
                List<Change> copy =
                        peer.directory.entries().stream()
                                .map(e -> new Change(e.id(), e, e.warmUpMillis()))
                                .toList();
                replaceAll(copy, peer.directory.revision(), NewsSource.peer("peer", 0));
            }
        }

        private void replaceAll(List<Change> all, long revision, NewsSource source) {
            Map<EndpointId, Long> revisions = new HashMap<>();
            List<EndpointEntry> entries = new ArrayList<>();
            for (Change c : all) {
                if (c.entry != null) {
                    entries.add(c.entry);
                    revisions.put(c.id, c.revision);
                }
            }
            directory.replaceAll(entries, revisions, revision, source, 0);
            seen = Math.max(seen, revision);
        }

        /** Returns the endpoints that this node uses although it was told that they end. */
        List<EndpointEntry> wronglyUsed(Store store) {
            return directory.entries().stream()
                    .filter(EndpointEntry::accepting)
                    .filter(
                            e ->
                                    store.after(e.warmUpMillis()).stream()
                                            .anyMatch(
                                                    c ->
                                                            c.id.equals(e.id())
                                                                    && c.ends()
                                                                    && c.revision <= seen))
                    .toList();
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void noEndpointIsUsedAfterANodeWasToldThatItEnds(int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Store store = new Store();
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            nodes.add(new Node());
        }
        for (int step = 0; step < STEPS; step++) {
            Node n = nodes.get(random.nextInt(NODES));
            switch (random.nextInt(6)) {
                case 0, 1 -> store.changeOne(random);
                case 2 -> n.watch(store);
                case 3 -> n.readFirstPage(store);
                case 4 -> n.readLastPage(store);
                default -> n.copyFrom(nodes.get(random.nextInt(NODES)));
            }
            for (Node each : nodes) {
                assertWithMessage("step %s, told up to %s", step, each.seen)
                        .that(each.wronglyUsed(store))
                        .isEmpty();
            }
        }
        for (Node each : nodes) {
            each.watch(store);
            assertThat(byId(each.directory.entries()))
                    .isEqualTo(byId(store.current.values().stream().map(Change::entry).toList()));
        }
    }

    private static Map<EndpointId, EndpointEntry> byId(List<EndpointEntry> entries) {
        return entries.stream().collect(Collectors.toMap(EndpointEntry::id, e -> e));
    }
}
