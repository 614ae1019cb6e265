package org.carobdoor.internal.peers;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.message.NodeStatus;
import org.junit.jupiter.api.Test;

/** Guards against relays with slow links in a zone that has nodes with fast ones. */
final class RelayPlanTest {
    private static final AvailabilityZone ZONE = new AvailabilityZone("a");

    private static List<RelayPlan.Peer> peers(int count, int linkMbps) {
        List<RelayPlan.Peer> peers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String run = NodeStatus.runOf("front-" + linkMbps + "-" + i, 1);
            peers.add(new RelayPlan.Peer(run, ZONE, linkMbps));
        }
        return peers;
    }

    @Test
    void nodesWithFastLinksAreRelays() {
        List<RelayPlan.Peer> fast = peers(2, 140);
        List<RelayPlan.Peer> zone = new ArrayList<>(peers(13, 7));
        zone.addAll(fast);

        List<RelayPlan.Peer> relays = RelayPlan.relaysOf(zone);

        assertThat(relays).hasSize(3);
        assertThat(relays).containsAtLeastElementsIn(fast);
    }

    @Test
    void nodesWithUnknownLinksAreRelaysIfThereAreNoOthers() {
        assertThat(RelayPlan.relaysOf(peers(15, 0))).hasSize(3);
        assertThat(RelayPlan.relaysOf(peers(2, 0))).hasSize(2);
    }

    @Test
    void smallDifferencesOfLinksDoNotMoveRelays() {
        List<RelayPlan.Peer> equal = new ArrayList<>();
        List<RelayPlan.Peer> unequal = new ArrayList<>();
        for (int i = 0; i < 15; i++) {
            String run = NodeStatus.runOf("front-" + i, 1);
            equal.add(new RelayPlan.Peer(run, ZONE, 900));
            unequal.add(new RelayPlan.Peer(run, ZONE, 900 + i));
        }
        assertThat(RelayPlan.relaysOf(unequal).stream().map(RelayPlan.Peer::run).toList())
                .isEqualTo(RelayPlan.relaysOf(equal).stream().map(RelayPlan.Peer::run).toList());
    }
}
