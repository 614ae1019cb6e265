package org.carobdoor.node.work;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;
import org.carobdoor.FailureKind;
import org.carobdoor.MemberState;
import org.carobdoor.NodeId;
import org.carobdoor.Result;
import org.carobdoor.standins.fake.LinkFaults;
import org.junit.jupiter.api.Test;

/**
 * Guards against losing or repeating parts of an answer between the state machines and their driver
 * threads.
 */
final class WorkServiceTest {

    /** A caller that collects the answer and stays connected until its end. */
    private static final class Caller implements StreamSink {
        final StringBuffer text = new StringBuffer();
        final AtomicReference<String> id = new AtomicReference<>("");

        @Override
        public void accepted(String requestId) {
            id.set(requestId);
        }

        @Override
        public boolean part(AnswerPart part) {
            text.append(part.text());
            return true;
        }
    }

    @Test
    void streamGivesWholeAnswerInOrder() {
        try (var nodes = new TestNodes(3)) {
            var caller = new Caller();
            var last = nodes.service(0).stream(nodes.spec(20, true), caller).orElseThrow();
            assertThat(last.state()).isEqualTo(AnswerPart.State.DONE);
            assertThat(caller.text.toString()).isEqualTo(TestNodes.answer(20));
            assertThat(nodes.store.calls("cas")).isEqualTo(0);
        }
    }

    @Test
    void interruptedStreamIsContinued() {
        try (var nodes = new TestNodes(3)) {
            nodes.failAfterTokens = 7;
            var caller = new Caller();
            nodes.service(0).stream(nodes.spec(20, true), caller).orElseThrow();
            assertThat(caller.text.toString()).isEqualTo(TestNodes.answer(20));
            assertThat(nodes.opened.get()).isEqualTo(2);
        }
    }

    @Test
    void answerIsReadAtAnyNodeOverBadNetwork() {
        try (var nodes = new TestNodes(4)) {
            nodes.network.setFaults(new LinkFaults(0.1, 0.1, Duration.ZERO, Duration.ofMillis(20)));
            String id = nodes.service(1).submit(nodes.spec(30, true)).orElseThrow();
            assertThat(nodes.readAll(2, id)).isEqualTo(TestNodes.answer(30) + "done");
        }
    }

    @Test
    void submittedWorkSurvivesDeathOfOwner() throws InterruptedException {
        try (var nodes = new TestNodes(4)) {
            String id = nodes.service(0).submit(nodes.spec(40, true)).orElseThrow();
            Thread.sleep(80);
            nodes.kill(0);
            assertThat(nodes.readAll(2, id)).isEqualTo(TestNodes.answer(40) + "done");
        }
    }

    @Test
    void drainHandsOverAndFinishes() throws InterruptedException {
        try (var nodes = new TestNodes(4)) {
            String id = nodes.service(0).submit(nodes.spec(60, true)).orElseThrow();
            Thread.sleep(50);
            nodes.setState(0, MemberState.LEAVING);
            nodes.service(0).drain(false);
            var deadline = nodes.clock.instant().plusSeconds(5);
            assertThat(nodes.service(0).awaitDrained(deadline)).isTrue();
            nodes.kill(0);
            assertThat(nodes.readAll(3, id)).isEqualTo(TestNodes.answer(60) + "done");
            assertThat(nodes.store.calls("cas")).isEqualTo(0);
        }
    }

    /**
     * Guards against a drain that waits for a caller whose connection was lost with another node.
     */
    @Test
    void takenOverStreamDoesNotHoldUpDrain() throws InterruptedException {
        try (var nodes = new TestNodes(4)) {
            nodes.tokenMillis = 20;
            Thread.startVirtualThread(
                    () -> nodes.service(0).stream(nodes.spec(40, true), new Caller()));
            Thread.sleep(200);
            int holder = 1;
            while (nodes.service(holder).counts().held() == 0) {
                holder++;
            }
            nodes.kill(0);
            Thread.sleep(500);
            nodes.setState(holder, MemberState.LEAVING);
            nodes.service(holder).drain(false);
            var deadline = nodes.clock.instant().plusSeconds(5);
            assertThat(nodes.service(holder).awaitDrained(deadline)).isTrue();
        }
    }

    /** Guards against failing accepted work when the retry budget of its entry is exhausted. */
    @Test
    void submittedWorkOutlastsTheRetryBudget() throws InterruptedException {
        try (var nodes = new TestNodes(3)) {
            nodes.failFirstAttempts = 8;
            String id = nodes.service(0).submit(nodes.spec(5, true)).orElseThrow();
            assertThat(nodes.readAll(1, id)).isEqualTo(TestNodes.answer(5) + "done");
        }
    }

    @Test
    void leavingNodeRefusesNewWorkAsNotRun() {
        try (var nodes = new TestNodes(3)) {
            nodes.service(0).drain(false);
            assertNotDone(nodes.service(0).submit(nodes.spec(1, true)));
            assertThat(nodes.opened.get()).isEqualTo(0);
        }
    }

    @Test
    void submitWithoutPeerIsRefusedButStreamIsServed() {
        try (var nodes = new TestNodes(1)) {
            assertNotDone(nodes.service(0).submit(nodes.spec(1, true)));
            var caller = new Caller();
            nodes.service(0).stream(nodes.spec(5, true), caller).orElseThrow();
            assertThat(caller.text.toString()).isEqualTo(TestNodes.answer(5));
        }
    }

    private static void assertNotDone(Result<String> result) {
        assertThat(((Result.Err<String>) result).failure().kind()).isEqualTo(FailureKind.NOT_DONE);
    }

    @Test
    void claimedCallOfDeadOwnerIsNotSentAgain() throws InterruptedException {
        try (var nodes = new TestNodes(3)) {
            nodes.tokenMillis = 200;
            String id = nodes.service(0).submit(nodes.spec(1, false)).orElseThrow();
            Thread.sleep(50);
            assertThat(nodes.claims).containsEntry(id, new NodeId("n0"));
            nodes.kill(0);
            assertThat(nodes.readAll(2, id)).isEqualTo("failed");
            assertThat(nodes.opened.get()).isEqualTo(1);
        }
    }

    @Test
    void claimedCallIsFinishedBeforeItsAnswerIsHandedOver() throws InterruptedException {
        try (var nodes = new TestNodes(4)) {
            nodes.tokenMillis = 300;
            String id = nodes.service(0).submit(nodes.spec(1, false)).orElseThrow();
            Thread.sleep(50);
            nodes.service(0).drain(false);
            var deadline = nodes.clock.instant().plusSeconds(5);
            assertThat(nodes.service(0).awaitDrained(deadline)).isTrue();
            nodes.kill(0);
            assertThat(nodes.readAll(2, id)).isEqualTo(TestNodes.answer(1) + "done");
            assertThat(nodes.opened.get()).isEqualTo(1);
        }
    }

    @Test
    void requestFailsIfItsSourceThrows() {
        try (var nodes = new TestNodes(3)) {
            var last = nodes.service(0).stream(nodes.spec(-1, false), new Caller()).orElseThrow();
            assertThat(last.state()).isEqualTo(AnswerPart.State.FAILED);
        }
    }

    @Test
    void takeoverWaitsForOutageOfKeyValueServiceToEnd() throws InterruptedException {
        try (var nodes = new TestNodes(4)) {
            String id = nodes.service(0).submit(nodes.spec(20, true)).orElseThrow();
            nodes.store.setDown(true);
            nodes.kill(0);
            Thread.sleep(200);
            assertThat(nodes.opened.get()).isAtMost(1);
            nodes.store.setDown(false);
            assertThat(nodes.readAll(2, id)).isEqualTo(TestNodes.answer(20) + "done");
        }
    }
}
