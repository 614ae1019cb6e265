package org.carobdoor.internal.claims;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.carobdoor.ClientAccount;
import org.carobdoor.internal.InvariantViolation;
import org.carobdoor.message.ClaimRequest;
import org.junit.jupiter.api.Test;

/**
 * Guards against a call that runs twice under combined faults (promise P4, section 1.5): lost,
 * delayed and refused writes, outages, several owners with different clocks, paused and crashed
 * owners, lost, duplicated and late messages, and claimants that crash after the grant.
 */
final class ClaimSimulationTest {
    private static final int SEEDS = Integer.getInteger("claims.seeds", 15);
    private static final Duration FAULT_PHASE = Duration.ofSeconds(40);
    private static final Duration RECOVERY_PHASE = Duration.ofSeconds(700);
    private static final ClaimLogSettings SETTINGS =
            new ClaimLogSettings(
                    Duration.ofMillis(20),
                    Duration.ofMillis(60),
                    400,
                    Duration.ofSeconds(1),
                    Duration.ofMillis(500));
    private static final KeyPolicy POLICY =
            new KeyPolicy(Duration.ofSeconds(6), Duration.ofSeconds(1));

    private final Counters totals = new Counters();

    @Test
    void noKeyRunsTwice() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            try {
                new Run(seed).run();
            } catch (InvariantViolation e) {
                throw new AssertionError("seed " + seed, e);
            }
        }
        // Ensures that the simulated faults have occurred.
        assertThat(totals.conflicts).isGreaterThan(SEEDS);
        assertThat(totals.resolvedWritten).isGreaterThan(SEEDS);
        assertThat(totals.resolvedLost).isGreaterThan(SEEDS);
        assertThat(totals.seals).isGreaterThan(SEEDS * 10);
        assertThat(totals.trims).isGreaterThan(SEEDS * 10);
        assertThat(totals.sends).isGreaterThan(SEEDS * 100);
    }

    private static final class Counters implements ClaimLogListener {
        int conflicts;
        int resolvedWritten;
        int resolvedLost;
        int seals;
        int trims;
        int sends;

        @Override
        public void onConflict() {
            conflicts++;
        }

        @Override
        public void onResolved(boolean written) {
            resolvedWritten += written ? 1 : 0;
            resolvedLost += written ? 0 : 1;
        }

        @Override
        public void onSeal() {
            seals++;
        }

        @Override
        public void onTrim(int segments) {
            trims += segments;
        }
    }

    private final class Run {
        private final long seed;
        private final Simulator sim;
        private final FaultyStore store;
        private final List<SimulatedOwner> owners = new ArrayList<>();
        private final List<String> keys = new ArrayList<>();
        private final List<KeyHistory> histories = new ArrayList<>();
        private final List<SimulatedClaimant> claimants = new ArrayList<>();
        private final Instant faultyUntil;
        private double faultRate;

        Run(long seed) {
            this.seed = seed;
            sim = new Simulator(seed);
            store = new FaultyStore(sim);
            faultyUntil = sim.now().plus(FAULT_PHASE);
            faultRate = 0.02 + sim.random.nextDouble() * 0.2;
            store.faultRate = faultRate;
            for (int i = 0; i < 3; i++) {
                Duration offset = Duration.ofMillis(sim.random.nextInt(8000) - 4000);
                owners.add(new SimulatedOwner(sim, store, SETTINGS, offset, totals));
            }
        }

        void run() {
            request();
            crash();
            outage();
            sim.runUntil(faultyUntil);
            faultRate = 0;
            store.faultRate = 0;
            store.down = false;
            sim.runUntil(faultyUntil.plus(RECOVERY_PHASE));
            for (SimulatedClaimant c : claimants) {
                assertWithMessage("seed %s: claimant has not finished", seed)
                        .that(c.crashed || c.claimant.next() instanceof ClaimantStep.Idle)
                        .isTrue();
            }
            histories.forEach(history -> totals.sends += history.sends);
            checkRecovered();
        }

        private void checkRecovered() {
            for (int i = 0; i < 40; i++) {
                newKey();
                send(keys.size() - 1);
                SimulatedClaimant last = claimants.get(claimants.size() - 1);
                sim.runUntil(sim.now().plusSeconds(5));
                assertWithMessage("seed %s: claim after the faults have ended", seed)
                        .that(last.claimant.verdict().orElseThrow())
                        .isInstanceOf(ClaimVerdict.Granted.class);
            }
            assertWithMessage("seed %s: segments not deleted", seed)
                    .that(store.values.size())
                    .isAtMost(20);
        }

        private void request() {
            if (sim.now().isAfter(faultyUntil)) {
                return;
            }
            if (keys.isEmpty() || sim.chance(0.5)) {
                newKey();
            }
            // Most requests are new or prompt retries; some are older than the retention window.
            int maxAge = sim.chance(0.7) ? 5 : sim.chance(0.8) ? 250 : 600;
            send(Math.max(0, keys.size() - 1 - sim.random.nextInt(maxAge)));
            sim.scheduleWithin(40, this::request);
        }

        private void newKey() {
            keys.add(sim.now().getEpochSecond() + ":" + keys.size());
            histories.add(new KeyHistory("seed " + seed + " key " + keys.size()));
        }

        private void send(int index) {
            String key = keys.get(index);
            Duration skew = Duration.ofMillis(sim.random.nextInt(1000) - 500);
            if (POLICY.check(key, true, sim.now().plus(skew))
                    instanceof KeyPolicy.Verdict.Accepted(var rememberUntil)) {
                Id128 hash = ClaimKey.hash(new ClientAccount("a"), "bids", key);
                Id128 token = Id128.random(sim.random);
                Instant deadline = sim.now().plusMillis(200 + sim.random.nextInt(2000));
                ClaimRequest request =
                        new ClaimRequest(
                                0, hash.toBytes(), token.toBytes(), rememberUntil, deadline);
                SimulatedClaimant c =
                        new SimulatedClaimant(
                                sim, owners, histories.get(index), faultRate, request);
                claimants.add(c);
                c.step();
            }
        }

        private void crash() {
            if (sim.now().isBefore(faultyUntil)) {
                sim.scheduleWithin(
                        8000,
                        () -> {
                            owners.get(sim.random.nextInt(owners.size())).crash();
                            crash();
                        });
            }
        }

        private void outage() {
            if (sim.now().isBefore(faultyUntil)) {
                sim.scheduleWithin(
                        15000,
                        () -> {
                            store.down = !store.down && sim.now().isBefore(faultyUntil);
                            sim.scheduleWithin(store.down ? 3000 : 1, () -> store.down = false);
                            outage();
                        });
            }
        }
    }
}
