package org.carobdoor.internal.claims;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.carobdoor.message.ClaimMessage;
import org.carobdoor.message.ClaimReply;
import org.carobdoor.message.ClaimReply.Outcome;
import org.carobdoor.message.ClaimRequest;
import org.carobdoor.message.ClaimUpdate;
import org.junit.jupiter.api.Test;

/** Guards against violations of ownership rules that random fault injection triggers too rarely. */
final class ClaimLogTest {
    private static final Id128 A = new Id128(1, 1);
    private static final Id128 B = new Id128(2, 2);

    private final Simulator sim = new Simulator(1);
    private final FaultyStore store = new FaultyStore(sim);
    private final SimulatedOwner owner = owner(Duration.ZERO);

    @Test
    void releaseBeforeItsClaimLeavesTheKeyClaimable() {
        assertThat(ask(owner, update("k", A, 0)).outcome()).isEqualTo(Outcome.RELEASED);
        assertThat(ask(owner, claim("k", A, 600)).outcome()).isEqualTo(Outcome.RELEASED);
        assertThat(ask(owner, claim("k", B, 600)).outcome()).isEqualTo(Outcome.GRANTED);
    }

    @Test
    void ownerWithStaleContentRefreshesBeforeReplying() {
        SimulatedOwner other = owner(Duration.ZERO);
        assertThat(ask(other, claim("k", A, 600)).outcome()).isEqualTo(Outcome.GRANTED);
        assertThat(ask(owner, claim("k", B, 600)).outcome()).isEqualTo(Outcome.HELD);
        assertThat(ask(other, update("k", A, 201)).outcome()).isEqualTo(Outcome.DONE);

        assertThat(ask(owner, claim("k", B, 600)).outcome()).isEqualTo(Outcome.DONE);
    }

    @Test
    void ownerWithStaleContentRecordsOutcomes() {
        SimulatedOwner other = owner(Duration.ZERO);
        assertThat(ask(owner, claim("x", B, 600)).outcome()).isEqualTo(Outcome.GRANTED);
        assertThat(ask(other, claim("k", A, 600)).outcome()).isEqualTo(Outcome.GRANTED);

        assertThat(ask(owner, update("k", A, 201)).outcome()).isEqualTo(Outcome.DONE);
    }

    @Test
    void keyTrimmedByAnOwnerWithAFastClockIsTooOld() {
        SimulatedOwner fast = owner(Duration.ofSeconds(100));
        ClaimRequest request = claim("k", A, 150);
        assertThat(ask(fast, request).outcome()).isEqualTo(Outcome.GRANTED);
        for (int i = 0; i < 40; i++) {
            assertThat(ask(fast, claim("filler" + i, A, 150)).outcome()).isEqualTo(Outcome.GRANTED);
        }
        sim.runUntil(sim.now().plusSeconds(100));
        assertThat(store.values.size()).isAtMost(2);

        ClaimRequest late =
                new ClaimRequest(
                        0,
                        request.keyHash(),
                        B.toBytes(),
                        request.rememberUntil(),
                        sim.now().plusSeconds(1));
        assertThat(request.rememberUntil()).isGreaterThan(sim.now());
        assertThat(ask(owner, late).outcome()).isEqualTo(Outcome.TOO_OLD);
    }

    private SimulatedOwner owner(Duration offset) {
        ClaimLogSettings settings =
                new ClaimLogSettings(
                        Duration.ofMillis(20),
                        Duration.ofMillis(60),
                        400,
                        Duration.ofSeconds(1),
                        Duration.ofMillis(500));
        return new SimulatedOwner(sim, store, settings, offset, ClaimLogListener.NONE);
    }

    private ClaimReply ask(SimulatedOwner asked, ClaimMessage message) {
        List<ClaimReply> replies = new ArrayList<>();
        asked.receive(message, replies::add);
        sim.runUntil(sim.now().plusMillis(500));
        assertThat(replies).hasSize(1);
        return replies.get(0);
    }

    private ClaimRequest claim(String key, Id128 token, int rememberSeconds) {
        Instant now = sim.now();
        Instant until = now.plusSeconds(rememberSeconds);
        return new ClaimRequest(0, hash(key).toBytes(), token.toBytes(), until, now.plusSeconds(2));
    }

    private static ClaimUpdate update(String key, Id128 token, int status) {
        return new ClaimUpdate(0, hash(key).toBytes(), token.toBytes(), status);
    }

    private static Id128 hash(String key) {
        return ClaimKey.hash(new org.carobdoor.ClientAccount("a"), "bids", key);
    }
}
