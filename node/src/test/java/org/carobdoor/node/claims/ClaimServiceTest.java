package org.carobdoor.node.claims;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.carobdoor.Bytes;
import org.carobdoor.ClientAccount;
import org.carobdoor.NodeId;
import org.carobdoor.Result;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.internal.catalogue.EntryKind;
import org.carobdoor.internal.catalogue.EntryLimits;
import org.carobdoor.internal.catalogue.EntryObjective;
import org.carobdoor.internal.claims.ClaimVerdict;
import org.carobdoor.internal.claims.Id128;
import org.carobdoor.message.ClaimUpdate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against duplicate grants and lost answers with three concurrent nodes over one store. */
final class ClaimServiceTest {
    private static final ClientAccount ACCOUNT = new ClientAccount("hay");
    private static final CatalogueEntry ENTRY =
            new CatalogueEntry(
                    "bids",
                    ACCOUNT,
                    EntryKind.SERVICE,
                    1,
                    Set.of(),
                    "bids",
                    "bids",
                    false,
                    true,
                    new EntryLimits(0, 0, 0, 0),
                    new EntryObjective(100, 0, 99),
                    1);
    private static final StoredAnswer ANSWER =
            new StoredAnswer(201, "text/plain", Bytes.utf8("bid taken"));

    private final TestCluster cluster = new TestCluster();

    @AfterEach
    void close() {
        cluster.close();
    }

    @Test
    void oneOfManyRequestsWithOneKeyIsGranted() throws Exception {
        List<Callable<ClaimVerdict>> calls = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            int node = i % 3;
            calls.add(() -> claim("node-" + node, "k"));
        }
        int granted = 0;
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            for (var call : threads.invokeAll(calls)) {
                granted += call.get() instanceof ClaimVerdict.Granted ? 1 : 0;
            }
        }

        assertThat(granted).isEqualTo(1);
    }

    @Test
    void repeatAtAnotherNodeFindsTheStoredAnswer() throws Exception {
        done("node-0", "k");

        for (String node : List.of("node-1", "node-2")) {
            ClaimVerdict repeat = claim(node, "k");
            assertThat(repeat).isInstanceOf(ClaimVerdict.Done.class);
            ClaimVerdict.Done done = (ClaimVerdict.Done) repeat;
            assertThat(done.status()).isEqualTo(201);
            assertThat(cluster.node(node).answer(ACCOUNT, "bids", key("k"), done.holder(), soon()))
                    .hasValue(ANSWER);
        }
    }

    @Test
    void answeredCallIsNotTakenForOpenBeforeItsOutcomeIsReported() throws Exception {
        cluster.lost.add(ClaimUpdate.class);
        for (int i = 0; i < 20; i++) {
            String k = "k" + i;
            done("node-0", k);

            assertThat(claim("node-1", k)).isInstanceOf(ClaimVerdict.Done.class);
            Result<KeyOutcome> outcome =
                    cluster.node("node-1").outcome(ACCOUNT, "bids", key(k), soon());
            assertThat(outcome.orElseThrow()).isInstanceOf(KeyOutcome.Done.class);
        }
    }

    @Test
    void repeatIsNotDelayedUntilItsDeadlineByAStalledHolderOfTheClaim() throws Exception {
        granted("node-0", "k");
        cluster.stalled.add(new NodeId("node-0"));
        Instant deadline = Instant.now().plusSeconds(4);

        ClaimVerdict verdict = cluster.node("node-1").claim(ACCOUNT, ENTRY, key("k"), deadline);

        assertThat(verdict).isEqualTo(new ClaimVerdict.Held("node-0"));
        assertThat(Instant.now()).isLessThan(deadline.minusSeconds(2));
    }

    @Test
    void answerOutlivesTheNodeThatReceivedTheCall() throws Exception {
        done("node-0", "k");
        cluster.dead.add(new NodeId("node-0"));
        cluster.silent.add(new NodeId("node-0"));

        assertThat(cluster.node("node-1").answer(ACCOUNT, "bids", key("k"), "node-0", soon()))
                .hasValue(ANSWER);
    }

    @Test
    void releasedKeyCanBeClaimedAgain() throws Exception {
        cluster.node("node-0").release(granted("node-0", "k"));

        Instant end = soon();
        ClaimVerdict again = claim("node-1", "k");
        while (again instanceof ClaimVerdict.Held && Instant.now().isBefore(end)) {
            again = claim("node-1", "k");
        }

        assertThat(again).isInstanceOf(ClaimVerdict.Granted.class);
    }

    @Test
    void abandonedKeyStaysClaimed() throws Exception {
        Id128 token = granted("node-0", "k");
        assertThat(cluster.node("node-0").beginSend(token)).isTrue();
        cluster.node("node-0").abandon(token);

        assertThat(claim("node-1", "k")).isEqualTo(new ClaimVerdict.Held("node-0"));
        assertThat(cluster.node("node-2").outcome(ACCOUNT, "bids", key("k"), soon()))
                .isEqualTo(Result.ok(new KeyOutcome.Open("node-0")));
    }

    @Test
    void claimsGoOnWhenAnOwnerIsSilent() throws Exception {
        for (int node = 1; node < 3; node++) {
            cluster.silent.clear();
            cluster.silent.add(new NodeId("node-" + node));
            for (int i = 0; i < 20; i++) {
                assertThat(claim("node-0", "silent-" + node + "-" + i))
                        .isInstanceOf(ClaimVerdict.Granted.class);
            }
        }
    }

    @Test
    void lostWriteAnswerStillGivesOneGrant() throws Exception {
        cluster.store.loseNextAnswer();

        assertThat(claim("node-0", "k")).isInstanceOf(ClaimVerdict.Granted.class);
        assertThat(claim("node-1", "k")).isEqualTo(new ClaimVerdict.Held("node-0"));
    }

    @Test
    void outageRefusesAndEndsCleanly() throws Exception {
        cluster.store.setDown(true);
        ClaimVerdict during = claim("node-0", "k");
        cluster.store.setDown(false);

        assertThat(during).isInstanceOf(ClaimVerdict.Refused.class);
        Instant end = Instant.now().plusSeconds(5);
        ClaimVerdict after = claim("node-0", "k");
        while (!(after instanceof ClaimVerdict.Granted) && Instant.now().isBefore(end)) {
            after = claim("node-0", "k");
        }
        assertThat(after).isInstanceOf(ClaimVerdict.Granted.class);
    }

    @Test
    void keyWithoutDateIsRefused() throws Exception {
        ClaimVerdict verdict = cluster.node("node-0").claim(ACCOUNT, ENTRY, "undated", soon());

        assertThat(verdict).isInstanceOf(ClaimVerdict.BadKey.class);
    }

    private void done(String node, String key) throws InterruptedException {
        Id128 token = granted(node, key);
        assertThat(cluster.node(node).beginSend(token)).isTrue();
        cluster.node(node).markDone(token, ANSWER);
    }

    private Id128 granted(String node, String key) throws InterruptedException {
        ClaimVerdict verdict = claim(node, key);
        assertThat(verdict).isInstanceOf(ClaimVerdict.Granted.class);
        return ((ClaimVerdict.Granted) verdict).token();
    }

    private ClaimVerdict claim(String node, String key) throws InterruptedException {
        return cluster.node(node).claim(ACCOUNT, ENTRY, key(key), soon());
    }

    private static Instant soon() {
        return Instant.now().plus(Duration.ofSeconds(2));
    }

    private static final long CREATED = Instant.now().getEpochSecond();

    private static String key(String text) {
        return CREATED + ":" + text;
    }
}
