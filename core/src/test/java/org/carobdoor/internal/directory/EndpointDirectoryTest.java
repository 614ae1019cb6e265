package org.carobdoor.internal.directory;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.EndpointId;
import org.junit.jupiter.api.Test;

/**
 * Guards against using removed endpoints and against losing running endpoints whose leases expired
 * during an outage of the store.
 */
final class EndpointDirectoryTest {
    private static final long SECOND = 1_000_000_000L;
    private static final NewsSource WATCH = NewsSource.watch(0);

    private final List<String> events = new ArrayList<>();
    private final EndpointDirectory directory =
            EndpointDirectory.create(
                    new DirectoryListener() {
                        @Override
                        public void started(EndpointEntry entry, EndpointNews news) {
                            events.add("started " + entry.id());
                        }

                        @Override
                        public void changed(
                                EndpointEntry before, EndpointEntry after, EndpointNews news) {
                            events.add("changed " + after.id());
                        }

                        @Override
                        public void removed(EndpointEntry last, EndpointNews news) {
                            events.add("removed " + last.id());
                        }
                    });

    private static EndpointEntry entry(String id, boolean accepting, long born) {
        return new EndpointEntry(
                new EndpointId(id),
                "llm",
                new InetSocketAddress("127.0.0.1", 9),
                new AvailabilityZone("a"),
                accepting,
                4,
                0,
                born,
                0,
                false,
                OptionalLong.empty());
    }

    @Test
    void removedEntryIsDroppedImmediately() {
        directory.put(entry("i-1", true, 1), 5, WATCH);
        directory.remove(new EndpointId("i-1"), 6, WATCH, 0);
        assertThat(events).containsExactly("started i-1", "removed i-1").inOrder();
    }

    @Test
    void olderRevisionDoesNotBringAnEntryBack() {
        directory.put(entry("i-1", false, 1), 5, WATCH);
        directory.put(entry("i-1", true, 1), 4, WATCH);
        assertThat(directory.find(new EndpointId("i-1")).orElseThrow().accepting()).isFalse();
    }

    @Test
    void entryThatLapsedInAnOutageIsKeptUntilItsEndpointRegistersAgain() {
        directory.put(entry("i-1", true, 1), 5, WATCH);
        directory.recordStoreUnavailable(0);
        directory.recordStoreAvailable(4 * SECOND);
        directory.remove(new EndpointId("i-1"), 6, WATCH, 4 * SECOND);
        directory.expire(5 * SECOND);
        assertThat(directory.entries()).hasSize(1);
        directory.put(entry("i-1", true, 1), 7, WATCH);
        directory.expire(10 * SECOND);
        assertThat(directory.entries()).hasSize(1);
    }

    @Test
    void entryThatStaysMissingGetsNoRequestsTwoSecondsAfterTheOutage() {
        // In scenario sharkawy-bales trouble-2 --seed 558520500439, a request was sent 2,047 ms
        // after the store had become available without the entry.
        directory.put(entry("i-1", true, 1), 5, WATCH);
        directory.recordStoreUnavailable(0);
        directory.recordStoreAvailable(4 * SECOND);
        directory.remove(new EndpointId("i-1"), 6, WATCH, 4 * SECOND);
        directory.expire(4 * SECOND + 1_700_000_000L);
        assertThat(directory.find(new EndpointId("i-1")).orElseThrow().accepting()).isFalse();
        directory.put(entry("i-1", true, 1), 7, WATCH);
        assertThat(directory.find(new EndpointId("i-1")).orElseThrow().accepting()).isTrue();
    }

    @Test
    void entryThatStaysMissingAfterAnOutageIsDropped() {
        directory.put(entry("i-1", true, 1), 5, WATCH);
        directory.recordStoreUnavailable(0);
        directory.recordStoreAvailable(4 * SECOND);
        directory.remove(new EndpointId("i-1"), 6, WATCH, 4 * SECOND);
        directory.expire(6 * SECOND);
        assertThat(directory.entries()).isEmpty();
    }

    @Test
    void leavingEndpointIsDroppedAlsoAfterAnOutage() {
        directory.put(entry("i-1", false, 1), 5, WATCH);
        directory.recordStoreUnavailable(0);
        directory.recordStoreAvailable(4 * SECOND);
        directory.remove(new EndpointId("i-1"), 6, WATCH, 4 * SECOND);
        assertThat(directory.entries()).isEmpty();
    }

    @Test
    void writeBeforeANewerListDoesNotBringAnEndpointBack() {
        // The copy of a peer is ahead of the watch, which then replays the write before the
        // removal.
        directory.put(entry("i-1", true, 1), 5, WATCH);
        directory.replaceAll(List.of(), Map.of(), 9, NewsSource.peer("b@1", 0), 0);
        directory.put(entry("i-1", true, 1), 7, WATCH);
        assertThat(directory.entries()).isEmpty();
        directory.put(entry("i-1", true, 2), 10, WATCH);
        assertThat(directory.entries()).hasSize(1);
    }

    @Test
    void listBeforeARemovalDoesNotBringAnEndpointBack() {
        directory.put(entry("i-1", true, 1), 5, WATCH);
        directory.remove(new EndpointId("i-1"), 6, WATCH, 0);
        directory.advance(6);
        Map<EndpointId, Long> revisions = Map.of(new EndpointId("i-1"), 5L);
        directory.replaceAll(List.of(entry("i-1", true, 1)), revisions, 5, NewsSource.list(0), 0);
        assertThat(directory.entries()).isEmpty();
    }

    @Test
    void entryOfALaterPageDoesNotMakeTheListNewerThanItsFirstPage() {
        // A peer that asks for newer endpoints would otherwise get an incomplete copy.
        Map<EndpointId, Long> revisions = Map.of(new EndpointId("i-2"), 12L);
        directory.replaceAll(List.of(entry("i-2", true, 1)), revisions, 9, NewsSource.list(0), 0);
        assertThat(directory.revision()).isEqualTo(9);
        directory.put(entry("i-1", true, 1), 10, WATCH);
        assertThat(directory.entries()).hasSize(2);
    }

    @Test
    void storeDoesNotUndoWhatAnEndpointSaysOfItself() {
        EndpointId id = new EndpointId("i-1");
        directory.put(entry("i-1", true, 1), 5, WATCH);
        directory.recordLeaving(entry("i-1", true, 1), 0);
        assertThat(directory.find(id).orElseThrow().accepting()).isFalse();
        directory.put(entry("i-1", true, 1), 6, WATCH);
        directory.remove(id, 7, WATCH, 0);
        directory.put(entry("i-1", true, 1), 8, WATCH);
        assertThat(directory.find(id).orElseThrow().accepting()).isFalse();
        directory.put(entry("i-1", true, 2), 9, WATCH);
        assertThat(directory.find(id).orElseThrow().accepting()).isTrue();
    }

    @Test
    void lateAnswerOfAnEarlierStartDoesNotEndTheNextOne() {
        directory.put(entry("i-1", true, 2), 5, WATCH);
        directory.recordLeaving(entry("i-1", true, 1), 0);
        assertThat(directory.find(new EndpointId("i-1")).orElseThrow().accepting()).isTrue();
    }

    @Test
    void leavingEndpointThatIsListedAgainLongAfterItsRemovalIsForgotten() {
        EndpointId id = new EndpointId("i-1");
        directory.put(entry("i-1", true, 1), 5, WATCH);
        directory.recordLeaving(entry("i-1", true, 1), 0);
        directory.remove(id, 6, WATCH, 0);
        directory.expire(EndpointDirectory.LEAVING_MEMORY_NANOS);
        directory.put(entry("i-1", true, 1), 7, WATCH);
        assertThat(directory.find(id).orElseThrow().accepting()).isFalse();
        directory.remove(id, 8, WATCH, 0);
        directory.expire(EndpointDirectory.LEAVING_MEMORY_NANOS + 1);
        directory.put(entry("i-1", true, 1), 9, WATCH);
        assertThat(directory.find(id).orElseThrow().accepting()).isTrue();
    }

    @Test
    void endpointThatLeftWhileOnlyThisNodeHadNoStoreIsDroppedAtOnce() {
        directory.put(entry("i-1", true, 1), 5, WATCH);
        directory.recordStoreAvailable(0);
        directory.recordStoreUnavailable(SECOND);
        directory.recordRevisionOfPeer(7, 2 * SECOND);
        directory.recordRevisionOfPeer(9, 4 * SECOND);
        directory.recordStoreAvailable(6 * SECOND);
        directory.remove(new EndpointId("i-1"), 8, WATCH, 6 * SECOND);
        assertThat(directory.entries()).isEmpty();
    }

    @Test
    void revisionsKnownBeforeAnOutageDoNotEndItsGrace() {
        // Relayed statuses tell them up to two seconds after the store has gone down.
        directory.put(entry("i-1", true, 1), 5, WATCH);
        directory.recordStoreAvailable(0);
        directory.recordRevisionOfPeer(5, SECOND / 2);
        directory.recordStoreUnavailable(SECOND);
        directory.recordRevisionOfPeer(7, 2 * SECOND);
        directory.recordRevisionOfPeer(7, 5 * SECOND);
        directory.recordStoreAvailable(6 * SECOND);
        directory.remove(new EndpointId("i-1"), 8, WATCH, 6 * SECOND);
        assertThat(directory.entries()).hasSize(1);
    }

    @Test
    void nodesThatReachTheStoreAgainFirstDoNotEndTheGraceOfOthers() {
        directory.put(entry("i-1", true, 1), 5, WATCH);
        directory.recordStoreAvailable(0);
        directory.recordRevisionOfPeer(7, SECOND / 2);
        directory.recordStoreUnavailable(SECOND);
        directory.recordRevisionOfPeer(9, 5 * SECOND);
        directory.recordStoreAvailable(6 * SECOND);
        directory.remove(new EndpointId("i-1"), 8, WATCH, 6 * SECOND);
        assertThat(directory.entries()).hasSize(1);
    }

    @Test
    void silenceTooShortForAnEntryToExpireKeepsNoEndpoint() {
        directory.put(entry("i-1", true, 1), 5, WATCH);
        directory.recordStoreAvailable(0);
        directory.recordStoreUnavailable(SECOND);
        directory.recordStoreAvailable(2 * SECOND);
        directory.remove(new EndpointId("i-1"), 8, WATCH, 2 * SECOND);
        assertThat(directory.entries()).isEmpty();
    }

    /** The store fails from 1 s to 9 s; a zone is heard, except if silent within these seconds. */
    private void hearZonesWithoutStore(double silentFrom, double silentTo, String... silent) {
        directory.recordStoreAvailable(0);
        for (int i = 1; i < 90; i++) {
            long now = i * SECOND / 10;
            if (i == 10) {
                directory.recordStoreUnavailable(now);
            }
            for (String zone : List.of("a", "b")) {
                boolean cut = now >= silentFrom * SECOND && now < silentTo * SECOND;
                if (!cut || !List.of(silent).contains(zone)) {
                    directory.recordZoneHeard(new AvailabilityZone(zone), now);
                }
            }
        }
        directory.recordStoreAvailable(9 * SECOND);
    }

    @Test
    void endpointOfAZoneThatThisNodeWasCutOffFromIsDroppedAtOnce() {
        directory.put(entry("i-1", true, 1), 5, WATCH);
        hearZonesWithoutStore(0.5, 8.5, "a");
        directory.remove(new EndpointId("i-1"), 8, WATCH, 9 * SECOND);
        assertThat(directory.entries()).isEmpty();
    }

    @Test
    void endpointOfTheZoneOfACutOffNodeIsKept() {
        directory.put(entry("i-1", true, 1), 5, WATCH);
        hearZonesWithoutStore(0.5, 8.5, "b");
        directory.remove(new EndpointId("i-1"), 8, WATCH, 9 * SECOND);
        assertThat(directory.entries()).hasSize(1);
    }

    @Test
    void shortCutDuringAnOutageOfAllEndsNoGrace() {
        directory.put(entry("i-1", true, 1), 5, WATCH);
        hearZonesWithoutStore(3, 6, "a");
        directory.remove(new EndpointId("i-1"), 8, WATCH, 9 * SECOND);
        assertThat(directory.entries()).hasSize(1);
    }

    @Test
    void endpointOfAZoneWithoutNodesIsKeptAfterAnOutage() {
        directory.put(entry("i-1", true, 1), 5, WATCH);
        directory.recordStoreAvailable(0);
        directory.recordZoneHeard(new AvailabilityZone("a"), 0);
        directory.recordStoreUnavailable(6 * SECOND);
        directory.recordZoneHeard(new AvailabilityZone("b"), 7 * SECOND);
        directory.recordStoreAvailable(9 * SECOND);
        directory.remove(new EndpointId("i-1"), 8, WATCH, 9 * SECOND);
        assertThat(directory.entries()).hasSize(1);
    }

    @Test
    void endpointThatAPeerKnowsToHaveLeftIsDroppedDuringAnOutage() {
        directory.put(entry("i-1", true, 1), 5, WATCH);
        directory.recordStoreUnavailable(SECOND);
        directory.replaceAll(List.of(), Map.of(), 9, NewsSource.peer("b@1", 0), 2 * SECOND);
        assertThat(directory.entries()).isEmpty();
    }

    @Test
    void unusableEntryEndsTheUseOfItsEndpoint() {
        EndpointId id = new EndpointId("i-1");
        directory.put(entry("i-1", true, 1), 5, WATCH);
        directory.putUnusable(id, 4, WATCH);
        assertThat(directory.entries()).hasSize(1);
        directory.putUnusable(id, 6, WATCH);
        assertThat(directory.entries()).isEmpty();
        directory.put(entry("i-1", true, 1), 7, WATCH);
        assertThat(directory.entries()).hasSize(1);
    }

    @Test
    void restartUnderTheSameIdentifierIsANewEndpoint() {
        directory.put(entry("i-1", true, 1), 5, WATCH);
        directory.put(entry("i-1", true, 2), 6, WATCH);
        assertThat(events).containsExactly("started i-1", "removed i-1", "started i-1").inOrder();
    }

    @Test
    void fullListDropsWhatItDoesNotName() {
        directory.put(entry("i-1", true, 1), 5, WATCH);
        directory.replaceAll(
                List.of(entry("i-2", true, 1)),
                Map.of(new EndpointId("i-2"), 8L),
                9,
                NewsSource.list(0),
                0);
        assertThat(directory.entries().stream().map(e -> e.id().value())).containsExactly("i-2");
        assertThat(directory.isLoaded()).isTrue();
        assertThat(directory.revision()).isEqualTo(9);
    }
}
