package org.carobdoor.internal.placement;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.directory.EndpointEntry;
import org.carobdoor.internal.request.Prompt;
import org.carobdoor.internal.request.PromptPart;
import org.junit.jupiter.api.Test;

/**
 * Guards against placements that prefill a shared prompt part on every engine, or that queue
 * requests at a busy or silent engine.
 */
final class EnginePlacementTest {
    private static final AvailabilityZone ZONE = new AvailabilityZone("a");
    private static final long MEMORY = 600_000;

    private static List<EndpointLoad> engines(int n) {
        List<EndpointLoad> engines = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            EndpointEntry entry =
                    new EndpointEntry(
                            new EndpointId("i-" + i),
                            "llm",
                            new InetSocketAddress("127.0.0.1", 9),
                            ZONE,
                            true,
                            64,
                            0,
                            1,
                            0,
                            false,
                            OptionalLong.empty());
            engines.add(EndpointLoad.create(entry, MEMORY, 0));
        }
        return engines;
    }

    private static Prompt prompt(long shared, long own, int sharedTokens, int ownTokens) {
        return new Prompt(
                "m",
                sharedTokens + ownTokens,
                100,
                List.of(new PromptPart(shared, sharedTokens), new PromptPart(own, ownTokens)));
    }

    private static Placement.Chosen choose(List<EndpointLoad> engines, Prompt p) {
        return (Placement.Chosen)
                EnginePlacement.choose(engines, p, 64, MEMORY, ZONE, 60_000, 1_000_000_000L);
    }

    @Test
    void independentNodesChooseTheSameEngineForAPart() {
        Prompt p = prompt(77, 1, 5_000, 500);
        EndpointId first = choose(engines(12), p).endpoint().entry().id();
        EndpointId second = choose(engines(12), p).endpoint().entry().id();
        assertThat(first).isEqualTo(second);
    }

    @Test
    void partsSpreadOverAllEngines() {
        Set<EndpointId> used = new HashSet<>();
        for (long part = 0; part < 200; part++) {
            used.add(choose(engines(8), prompt(part, 1, 5_000, 500)).endpoint().entry().id());
        }
        assertThat(used).hasSize(8);
    }

    @Test
    void longQueueAtHomeEngineDivertsPart() {
        List<EndpointLoad> engines = engines(8);
        Prompt p = prompt(77, 1, 5_000, 500);
        EndpointLoad home = choose(engines, p).endpoint();
        home.recordSent(60_000, 60_000, 0);
        assertThat(choose(engines, p).endpoint()).isNotSameInstanceAs(home);
    }

    @Test
    void engineThatIsSilentWithWorkIsAvoided() {
        List<EndpointLoad> engines = engines(2);
        Prompt p = prompt(77, 1, 100, 100);
        EndpointLoad home = choose(engines, p).endpoint();
        home.recordSent(10, 10, -5_000_000_000L);
        Placement.Chosen next =
                (Placement.Chosen)
                        EnginePlacement.choose(
                                engines, p, 64, MEMORY, ZONE, 60_000, 3_000_000_000L);
        assertThat(next.endpoint()).isNotSameInstanceAs(home);
    }

    @Test
    void requestThatCannotBeServedInTimeIsRefusedAtOnce() {
        List<EndpointLoad> engines = engines(2);
        engines.forEach(e -> e.recordSent(500_000, 500_000, 0));
        assertThat(
                        EnginePlacement.choose(
                                engines, prompt(1, 2, 10, 10), 64, MEMORY, ZONE, 1_000, 0))
                .isInstanceOf(Placement.Saturated.class);
    }

    @Test
    void serviceWithoutEnginesHasNoEndpoint() {
        assertThat(
                        EnginePlacement.choose(
                                List.of(), prompt(1, 2, 10, 10), 64, MEMORY, ZONE, 1_000, 0))
                .isInstanceOf(Placement.NoEndpoint.class);
    }
}
