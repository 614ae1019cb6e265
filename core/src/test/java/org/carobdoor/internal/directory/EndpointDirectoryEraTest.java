package org.carobdoor.internal.directory;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.store.StoreRevision;
import org.junit.jupiter.api.Test;

/** Guards against what a store tells of endpoints after its return from an older copy. */
final class EndpointDirectoryEraTest {
    private static final long MS = 1_000_000L;
    private static final NewsSource LIST = NewsSource.list(0);

    private final List<String> events = new ArrayList<>();
    private final EndpointDirectory directory =
            EndpointDirectory.create(
                    new DirectoryListener() {
                        @Override
                        public void started(EndpointEntry entry, EndpointNews news) {
                            events.add("started " + entry.id().value());
                        }

                        @Override
                        public void changed(
                                EndpointEntry before, EndpointEntry after, EndpointNews news) {
                            events.add("changed " + after.id().value());
                        }

                        @Override
                        public void removed(EndpointEntry last, EndpointNews news) {
                            events.add("removed " + last.id().value());
                        }
                    });

    private static EndpointEntry entry(String id, boolean accepting, long born, long sequence) {
        return new EndpointEntry(
                new EndpointId(id),
                "llm",
                new InetSocketAddress("127.0.0.1", 9),
                new AvailabilityZone("a"),
                accepting,
                4,
                0,
                born,
                sequence,
                false,
                OptionalLong.empty());
    }

    private void list(long era, long revision, long nowNanos, EndpointEntry... entries) {
        Map<EndpointId, Long> revisions = new HashMap<>();
        for (EndpointEntry e : entries) {
            revisions.put(e.id(), StoreRevision.of(era, revision));
        }
        long at = StoreRevision.of(era, revision);
        directory.replaceAll(List.of(entries), revisions, at, LIST, nowNanos);
    }

    private void write(long era, long revision, EndpointEntry entry) {
        directory.put(entry, StoreRevision.of(era, revision), NewsSource.watch(0));
    }

    private void remove(long era, long revision, String id, long nowNanos) {
        long at = StoreRevision.of(era, revision);
        directory.remove(new EndpointId(id), at, NewsSource.watch(0), nowNanos);
    }

    private boolean isUsed(String id) {
        return directory.find(new EndpointId(id)).filter(EndpointEntry::accepting).isPresent();
    }

    @Test
    void unchangedEndpointsAreUsedOnWithoutARestart() {
        list(0, 90, 0, entry("i-1", true, 100, 9));
        list(1, 40, MS, entry("i-1", true, 100, 5));
        assertThat(isUsed("i-1")).isTrue();
        assertThat(events).doesNotContain("removed i-1");
        write(1, 41, entry("i-1", false, 100, 10));
        assertThat(isUsed("i-1")).isFalse();
    }

    @Test
    void endpointThatLeftIsNotUsedWhateverTheCopySays() {
        list(0, 50, 0, entry("i-1", true, 100, 5), entry("i-2", true, 100, 5));
        write(0, 60, entry("i-1", false, 100, 6));
        remove(0, 61, "i-2", MS);
        directory.recordLeaving(entry("i-3", true, 100, 5), MS);
        EndpointEntry[] copy = {
            entry("i-1", true, 100, 5), entry("i-2", true, 100, 5), entry("i-3", true, 100, 5)
        };
        for (int era = 1; era <= 2; era++) {
            // Two returns within ten seconds.
            list(era, 50, era * 3_000 * MS, copy);
            directory.expire((era * 3_000 + 200) * MS);
            for (EndpointEntry e : copy) {
                assertWithMessage(e.id().value()).that(isUsed(e.id().value())).isFalse();
            }
        }
    }

    @Test
    void endpointThatWritesItselfAgainIsUsedAgain() {
        list(0, 50, 0, entry("i-1", true, 100, 5), entry("i-2", true, 100, 5));
        remove(0, 60, "i-1", MS);
        remove(0, 61, "i-2", MS);
        list(1, 50, 2 * MS, entry("i-1", true, 100, 5), entry("i-2", true, 100, 5));
        write(1, 51, entry("i-1", true, 100, 6));
        assertThat(isUsed("i-1")).isTrue();
        directory.expire(4_700 * MS);
        assertThat(isUsed("i-2")).isFalse();
        // Only an endpoint that runs is still listed by now.
        directory.expire(4_900 * MS);
        assertThat(isUsed("i-2")).isTrue();
    }

    @Test
    void endpointThatTheCopyLacksStaysInUseForABoundedTime() {
        list(0, 90, 0, entry("i-1", true, 100, 5), entry("i-2", true, 200, 1));
        // The copy lacks the first and has the second as it was before its restart.
        list(1, 40, MS, entry("i-2", true, 100, 5));
        assertThat(isUsed("i-1") && isUsed("i-2")).isTrue();
        write(1, 41, entry("i-1", true, 100, 6));
        directory.expire(1_700 * MS);
        assertThat(isUsed("i-1")).isTrue();
        assertThat(isUsed("i-2")).isFalse();
        directory.expire(2_100 * MS);
        assertThat(events).contains("removed i-2");
        write(1, 42, entry("i-2", true, 200, 1));
        assertThat(isUsed("i-2")).isTrue();
    }

    @Test
    void nodeOfACutZoneDropsWhatLeftWhileItWasCut() {
        list(0, 90, 0, entry("i-1", true, 100, 5), entry("i-2", true, 100, 5));
        directory.recordStoreAvailable(MS);
        directory.recordRevisionOfPeer(90, MS);
        directory.recordStoreUnavailable(100 * MS);
        directory.recordRevisionOfPeer(StoreRevision.of(1, 45), 3_000 * MS);
        directory.recordStoreAvailable(8_000 * MS);
        list(1, 60, 8_000 * MS, entry("i-2", true, 100, 5));
        assertThat(isUsed("i-1")).isFalse();
        assertThat(isUsed("i-2")).isTrue();
    }
}
