package org.carobdoor.internal.placement;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.directory.EndpointEntry;
import org.carobdoor.internal.request.Prompt;
import org.carobdoor.internal.request.PromptPart;
import org.junit.jupiter.api.Test;

/** Guards against herds at one engine, lost prefix homes and short prompts behind long ones. */
final class LearnedEnginePlacementTest {
    private static final AvailabilityZone ZONE = new AvailabilityZone("a");
    private static final long MEMORY = 600_000;
    private static final int NODES = 132;

    private final SplittableRandom random = new SplittableRandom(1);
    private final PromptLanes lanes = PromptLanes.create(0);
    private final List<EndpointLoad> engines = new ArrayList<>();

    LearnedEnginePlacementTest() {
        for (int i = 0; i < 50; i++) {
            EndpointEntry entry =
                    new EndpointEntry(
                            new EndpointId("i-" + i),
                            "llm",
                            new InetSocketAddress("127.0.0.1", 9),
                            ZONE,
                            true,
                            12,
                            0,
                            1,
                            0,
                            false,
                            OptionalLong.empty());
            engines.add(EndpointLoad.create(entry, MEMORY, 0));
        }
    }

    private static Prompt prompt(long shared, int sharedTokens, int ownTokens) {
        return new Prompt(
                "m",
                sharedTokens + ownTokens,
                100,
                List.of(new PromptPart(shared, sharedTokens), new PromptPart(7, ownTokens)));
    }

    private EndpointLoad choose(Prompt prompt, int rank) {
        DecisionView view = new DecisionView(ZONE, z -> 0, 1_000, NODES, random, 0);
        Placement p =
                LearnedEnginePlacement.choose(
                        engines, prompt, 12, MEMORY, lanes, rank, view, 60_000);
        return ((Placement.Chosen) p).endpoint();
    }

    @Test
    void homeOfASharedPartIsKept() {
        EndpointLoad home = choose(prompt(77, 5_000, 500), 0);
        for (int i = 0; i < 100; i++) {
            assertThat(choose(prompt(77, 5_000, 500), 0)).isSameInstanceAs(home);
        }
    }

    @Test
    void longQueueAtHomeDivertsThePartToManyEngines() {
        EndpointLoad home = choose(prompt(77, 5_000, 500), 0);
        home.recordSent(200_000, 0, 0);
        EndpointLoad second = choose(prompt(77, 5_000, 500), 0);
        second.recordSent(200_000, 0, 0);
        Map<EndpointLoad, Integer> chosen = new HashMap<>();
        for (int i = 0; i < NODES; i++) {
            chosen.merge(choose(prompt(77, 5_000, 500), 0), 1, Integer::sum);
        }
        assertThat(chosen.keySet()).containsNoneOf(home, second);
        assertThat(chosen.size()).isGreaterThan(25);
        assertThat(chosen.values().stream().mapToInt(c -> c).max().orElse(0)).isLessThan(12);
    }

    @Test
    void urgentShortPromptsDoNotShareEnginesWithLongOnesWhileThereIsRoom() {
        Prompt longPrompt = prompt(1, 0, 12_000);
        Prompt shortPrompt = prompt(2, 0, 2_000);
        for (int i = 0; i < 600; i++) {
            lanes.record(shortPrompt, 0, 0);
            lanes.record(longPrompt, i % 6 == 0 ? 2 : 0, 0);
        }
        assertThat(lanes.longShare()).isGreaterThan(0.1);
        Map<EndpointLoad, Integer> ofLong = new HashMap<>();
        int shared = 0;
        for (int i = 0; i < 200; i++) {
            ofLong.merge(choose(longPrompt, 2), 1, Integer::sum);
        }
        for (int i = 0; i < 200; i++) {
            shared += ofLong.containsKey(choose(shortPrompt, 0)) ? 1 : 0;
        }
        assertThat(shared).isLessThan(30);
    }

    @Test
    void promptsOfOneRankShareAllEngines() {
        for (int i = 0; i < 100; i++) {
            lanes.record(prompt(1, 0, 12_000), 1, 0);
            lanes.record(prompt(2, 0, 2_000), 1, 0);
        }
        assertThat(lanes.longShare()).isEqualTo(0);
    }
}
