package org.carobdoor.internal.peers;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.carobdoor.AvailabilityZone;
import org.junit.jupiter.api.Test;

/** Guards against dropping live runs of other nodes and against keeping runs that have ended. */
final class PeerRunsTest {
    private static final long SECOND = 1_000_000_000L;
    private static final AvailabilityZone IBADAN = new AvailabilityZone("ibadan");
    private static final AvailabilityZone IKEJA = new AvailabilityZone("ikeja");

    private final PeerRuns runs = PeerRuns.create("own@1");

    @Test
    void newlyListedRunIsKeptAlthoughItsPredecessorWasHeardLater() {
        // In scenario nads-motions trouble-2, a node that restarted within 3 s was dropped by the
        // others, which sent it no usage counts for the rest of the day.
        runs.listed("b@1", 10);
        runs.heard("b@1", IBADAN, 0);
        runs.listed("b@2", 20);

        assertThat(runs.removeEnded(SECOND)).isEmpty();
    }

    @Test
    void replacedRunEndsOnceItIsSilent() {
        runs.listed("b@1", 10);
        runs.heard("b@1", IBADAN, 0);
        runs.listed("b@2", 20);
        runs.heard("b@2", IBADAN, SECOND);

        assertThat(runs.removeEnded(2 * SECOND)).isEmpty();
        runs.heard("b@2", IBADAN, 4 * SECOND);
        assertThat(runs.removeEnded(4 * SECOND)).containsExactly("b@1");
        assertThat(runs.allHeard(4 * SECOND)).isTrue();
    }

    @Test
    void laterRunIsDeterminedByRevisionEvenIfItsClockWasSetBack() {
        runs.listed("b@900", 10);
        runs.listed("b@100", 20);
        runs.heard("b@100", IBADAN, 0);

        assertThat(runs.removeEnded(SECOND)).containsExactly("b@900");
    }

    @Test
    void unlistedRunEndsOnceItIsSilent() {
        // A stopping node removes its entry first; a node with another name may replace it.
        runs.listed("b@1", 10);
        runs.heard("b@1", IBADAN, 0);
        runs.unlisted("b@1");

        assertThat(runs.removeEnded(SECOND)).isEmpty();
        assertThat(runs.removeEnded(4 * SECOND)).containsExactly("b@1");
        assertThat(runs.nodeNames()).containsExactly("own");
    }

    @Test
    void silentRunThatIsListedExists() {
        runs.listed("b@1", 10);

        assertThat(runs.removeEnded(60 * SECOND)).isEmpty();
        assertThat(runs.allHeard(60 * SECOND)).isFalse();
        assertThat(runs.nodeNames()).containsExactly("b", "own");
    }

    @Test
    void runThatIsMissingFromTheWholeListEnds() {
        runs.listed("b@1", 10);
        runs.listed("c@1", 11);
        runs.listedExactly(Set.of("own@1", "c@1"));

        assertThat(runs.removeEnded(0)).isEqualTo(List.of("b@1"));
    }

    @Test
    void earlierRunOfThisNodeHasEnded() {
        // Its entry stays listed until its lease expires; the holder of the duties used to wait for
        // its status until then.
        runs.listed("own@0", 5);

        assertThat(runs.removeEnded(0)).containsExactly("own@0");
    }

    @Test
    void ownRunIsNotAPeer() {
        assertThat(runs.listed("own@1", 10)).isFalse();
        assertThat(runs.allHeard(0)).isTrue();
    }

    @Test
    void zoneIsSilentWhenNoneOfItsRunsIsHeard() {
        runs.heard("b@1", IBADAN, 0);
        runs.heard("c@1", IBADAN, 2 * SECOND);
        runs.heard("d@1", IKEJA, 0);

        assertThat(runs.silentZones(SECOND, 2 * SECOND)).containsExactly(IKEJA);
    }
}
