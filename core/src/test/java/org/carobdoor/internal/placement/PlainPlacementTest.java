package org.carobdoor.internal.placement;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.OptionalLong;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.directory.EndpointEntry;
import org.junit.jupiter.api.Test;

/** Guards against requests that queue at a slow or full endpoint while another one is free. */
final class PlainPlacementTest {
    private static final AvailabilityZone ZONE = new AvailabilityZone("a");

    private static EndpointLoad endpoint(String id, String zone) {
        return EndpointLoad.create(
                new EndpointEntry(
                        new EndpointId(id),
                        "desk",
                        new InetSocketAddress("127.0.0.1", 9),
                        new AvailabilityZone(zone),
                        true,
                        6,
                        0,
                        1,
                        0,
                        false,
                        OptionalLong.empty()),
                0,
                0);
    }

    private static EndpointLoad choose(EndpointLoad... endpoints) {
        return ((Placement.Chosen) PlainPlacement.choose(List.of(endpoints), ZONE, 1_000, 0))
                .endpoint();
    }

    @Test
    void prefersTheOwnZone() {
        EndpointLoad own = endpoint("i-2", "a");
        assertThat(choose(endpoint("i-1", "b"), own)).isSameInstanceAs(own);
    }

    @Test
    void endpointWithoutFreeConnectionIsSkipped() {
        // After a freeze, the waiting requests were sent to endpoints without a free
        // connection, which were then treated as unreachable (seen on sharkawy-bales trouble-2
        // --seed 13).
        EndpointLoad own = endpoint("i-2", "a");
        EndpointLoad other = endpoint("i-1", "b");
        own.setMaxRunning(1);
        own.recordSent(0, 0, 0);
        assertThat(choose(own, other)).isSameInstanceAs(other);
        other.setMaxRunning(0);
        assertThat(PlainPlacement.choose(List.of(own, other), ZONE, 1_000, 0))
                .isInstanceOf(Placement.Saturated.class);
    }

    @Test
    void slowEndpointIsNotChosen() {
        EndpointLoad slow = endpoint("i-1", "a");
        for (int i = 0; i < 20; i++) {
            slow.updateAnswerTime(200);
        }
        EndpointLoad other = endpoint("i-2", "b");
        assertThat(choose(slow, other)).isSameInstanceAs(other);
    }

    @Test
    void endpointWithoutFreeSlotIsSkipped() {
        EndpointLoad full = endpoint("i-1", "a");
        for (int i = 0; i < 6; i++) {
            full.recordSent(0, 0, 0);
        }
        EndpointLoad other = endpoint("i-2", "b");
        assertThat(choose(full, other)).isSameInstanceAs(other);
    }

    @Test
    void queueBeyondTheDeadlineIsRefused() {
        EndpointLoad full = endpoint("i-1", "a");
        for (int i = 0; i < 2_000; i++) {
            full.recordSent(0, 0, 0);
        }
        assertThat(PlainPlacement.choose(List.of(full), ZONE, 1_000, 0))
                .isInstanceOf(Placement.Saturated.class);
    }
}
