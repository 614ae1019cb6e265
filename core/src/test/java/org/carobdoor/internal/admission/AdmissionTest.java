package org.carobdoor.internal.admission;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.carobdoor.ClientAccount;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.internal.catalogue.EntryKind;
import org.carobdoor.internal.catalogue.EntryLimits;
import org.carobdoor.internal.catalogue.EntryObjective;
import org.junit.jupiter.api.Test;

/** Guards against a higher class being shed while a lower one is admitted. */
final class AdmissionTest {
    private static final List<String> TARGET = List.of("model/m");
    private static final CatalogueEntry ENTRY =
            new CatalogueEntry(
                    "drafts",
                    new ClientAccount("hay"),
                    EntryKind.MODEL,
                    2,
                    Set.of("m"),
                    "",
                    "",
                    true,
                    true,
                    new EntryLimits(0, 0, 0, 0),
                    new EntryObjective(1_800, 68, 95),
                    1);

    private Instant now = Instant.EPOCH;
    private double load;
    private int endpoints = 2;
    private final Admission admission = Admission.create(AdmissionSettings.defaults(), () -> now);

    private boolean admits(int priority) {
        return admission.admit(TARGET, priority, t -> new PoolLoad(load, endpoints))
                instanceof AdmissionDecision.Admitted;
    }

    @Test
    void lowestClassIsShedFirst() {
        load = 2 * 20_000 * 0.7;
        assertThat(List.of(admits(1), admits(2), admits(3), admits(4)))
                .containsExactly(true, true, true, false)
                .inOrder();
        load = 2 * 20_000 * 1.2;
        assertThat(List.of(admits(1), admits(2))).containsExactly(true, false).inOrder();
    }

    @Test
    void nothingIsAdmittedWithoutEndpoints() {
        endpoints = 0;
        assertThat(admits(1)).isFalse();
    }

    @Test
    void admittedTargetsAreThoseWithCapacity() {
        AdmissionDecision decision =
                admission.admit(
                        List.of("model/full", "model/free"),
                        4,
                        t -> new PoolLoad(t.equals("model/full") ? 1e9 : 0, 1));
        assertThat(decision).isEqualTo(new AdmissionDecision.Admitted(List.of("model/free")));
    }

    @Test
    void missedObjectiveLowersCapacityAndMetOneRaisesIt() {
        load = 2 * 15_000;
        serve(10, 2_500);
        assertThat(admission.capacityPerEndpoint("model/m")).isWithin(1e-6).of(13_500);
        serve(10, 900);
        assertThat(admission.capacityPerEndpoint("model/m")).isWithin(1e-6).of(13_770);
    }

    /** For random loads and outcomes, a shed class implies that all lower classes are shed. */
    @Test
    void noLowerClassIsAdmittedWhenAHigherOneIsShed() {
        for (long seed = 1; seed <= 20; seed++) {
            var random = new SplittableRandom(seed);
            for (int i = 0; i < 1_000; i++) {
                load = random.nextDouble(200_000);
                serve(1, random.nextInt(3_000));
                for (int c = 1; c < 4; c++) {
                    assertWithMessage("seed %s step %s class %s", seed, i, c)
                            .that(admits(c + 1) && !admits(c))
                            .isFalse();
                }
            }
        }
    }

    private void serve(int n, double firstTokenMillis) {
        boolean unused = admits(1);
        now = now.plusMillis(1_001);
        for (int i = 0; i < n; i++) {
            admission.onServed("model/m", ENTRY, firstTokenMillis, 40);
        }
    }
}
