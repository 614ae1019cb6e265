package org.carobdoor.internal.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.carobdoor.internal.request.Prompt;
import org.carobdoor.internal.request.PromptPart;
import org.junit.jupiter.api.Test;

/** Guards against sizing the fleet for prompt parts that engines have cached. */
final class EngineTimeEstimatorTest {
    @Test
    void sharedPartsDoNotCountAsWork() {
        Prompt prompt =
                new Prompt(
                        "m",
                        6_000,
                        100,
                        List.of(new PromptPart(1, 5_000), new PromptPart(2, 1_000)));
        assertThat(EngineTimeEstimator.millis(prompt))
                .isWithin(1e-9)
                .of(1_000 / 50.0 + 100 * 0.5 * 0.1);
    }

    @Test
    void tokensOutsideTheListedPartsCountAsWork() {
        assertThat(EngineTimeEstimator.millis(new Prompt("m", 500, 0, List.of())))
                .isWithin(1e-9)
                .of(10);
    }
}
