package org.carobdoor.internal.rollout;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.directory.EndpointEntry;
import org.carobdoor.internal.placement.EndpointLoad;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Guards against requests to versions that no order allows, or to more than a share of them. */
final class VersionSelectorTest {
    private static final RolloutBounds BOUNDS = new RolloutBounds(0.1, 50);
    private static final RolloutOrder ORDER =
            new RolloutOrder("desk", "v2", 12_000, 5, Optional.empty());

    private final VersionSelector selector = VersionSelector.create(Optional.of(BOUNDS));
    private final Rollout rollout = Rollout.create(BOUNDS);
    private final List<EndpointLoad> endpoints = new ArrayList<>();

    VersionSelectorTest() {
        for (int i = 0; i < 20; i++) {
            add("v1", i);
        }
        // Known before the order.
        selector.allowed("desk", false, endpoints, 0);
        for (int i = 0; i < 20; i++) {
            add("v2", i);
        }
    }

    private void add(String version, int i) {
        EndpointEntry e =
                new EndpointEntry(
                        new EndpointId(version + "-" + i),
                        "desk",
                        new InetSocketAddress("127.0.0.1", 1),
                        new AvailabilityZone("a"),
                        true,
                        8,
                        0,
                        1,
                        1,
                        false,
                        OptionalLong.empty(),
                        version);
        endpoints.add(EndpointLoad.create(e, 0, 0));
    }

    private void follow(@Nullable RolloutOrder order, @Nullable RolloutState s, boolean bad) {
        selector.setRule("desk", VersionRule.of(order, s, bad));
    }

    private RolloutState state(RolloutPhase phase, double share) {
        return rollout.begin(ORDER, null, List.of("v1", "v2"), 0, 0)
                .enter(phase, share, AnswerCounts.NONE, "", 0);
    }

    private Set<String> versions(boolean chosenNew, long nowNanos) {
        return selector.allowed("desk", chosenNew, endpoints, nowNanos).stream()
                .map(e -> e.entry().version())
                .collect(Collectors.toSet());
    }

    @Test
    void newVersionWaitsForTheOrderAndIsUsedWithoutOneLater() {
        assertThat(versions(false, 1)).containsExactly("v1");
        assertThat(versions(false, 4_000_000_000L)).containsExactly("v1", "v2");
    }

    @Test
    void orderWithoutStateKeepsTheOldVersion() {
        follow(ORDER, null, false);
        assertThat(selector.choosesNew("desk", new Random(1))).isFalse();
        assertThat(versions(true, 1)).containsExactly("v1");
    }

    @Test
    void requestsOfAllNodesStayWithinTheLimit() {
        int nodes = 67;
        int requests = 40;
        int exposed = 0;
        for (int n = 0; n < nodes; n++) {
            VersionSelector node = VersionSelector.create(Optional.of(BOUNDS));
            node.setNodes(nodes);
            node.setRule("desk", VersionRule.of(ORDER, state(RolloutPhase.TRYING, 0.25), false));
            Random random = new Random(n);
            for (int i = 0; i < requests; i++) {
                if (node.choosesNew("desk", random)) {
                    node.recordSent(endpoints.getLast().entry());
                    exposed++;
                }
            }
        }
        assertThat(exposed).isAtMost(nodes * requests / 10 + 25);
        assertThat(exposed).isGreaterThan(nodes * requests / 20);
    }

    @Test
    void triedVersionIsConcentratedOnFewEndpoints() {
        follow(ORDER, state(RolloutPhase.TRYING, 0.06), false);
        List<EndpointLoad> tried = selector.allowed("desk", true, endpoints, 1);
        assertThat(tried).hasSize(3);
        assertThat(versions(true, 1)).containsExactly("v2");
        // Retries.
        assertThat(versions(false, 1)).containsExactly("v1");
    }

    @Test
    void finishingCompletedAndRolledBackUseOneVersion() {
        follow(ORDER, state(RolloutPhase.FINISHING, 1), false);
        assertThat(versions(false, 1)).containsExactly("v2");
        follow(ORDER, state(RolloutPhase.COMPLETED, 1), false);
        assertThat(versions(false, 1)).containsExactly("v2");
        follow(ORDER, state(RolloutPhase.ROLLED_BACK, 0), false);
        assertThat(versions(true, 1)).containsExactly("v1");
    }

    @Test
    void ownEvidenceStopsRequestsBeforeTheStateDoes() {
        follow(ORDER, state(RolloutPhase.FINISHING, 1), true);
        assertThat(selector.choosesNew("desk", new Random(1))).isFalse();
        assertThat(versions(true, 1)).containsExactly("v1");
    }

    @Test
    void malformedOrderConcernsNoEndpoint() {
        follow(new RolloutOrder("desk", "", 0, 5, Optional.of("malformed")), null, false);
        assertThat(versions(false, 1)).containsExactly("v1");
        assertThat(versions(false, 4_000_000_000L)).containsExactly("v1", "v2");
    }

    @Test
    void withoutBoundsAllVersionsAreUsed() {
        VersionSelector off = VersionSelector.create(Optional.empty());
        assertThat(off.allowed("desk", false, endpoints, 1)).isSameInstanceAs(endpoints);
    }
}
