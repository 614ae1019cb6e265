package org.carobdoor.internal.routing;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.carobdoor.NodeId;
import org.carobdoor.internal.endpoint.EndpointState;
import org.carobdoor.message.LoadReport;
import org.junit.jupiter.api.Test;

/** Guards against sends to leaving endpoints and against outstanding counts that drift. */
final class EndpointViewTest {
    private static final List<EndpointState> STATES =
            List.of(EndpointState.STARTING, EndpointState.LIVE, EndpointState.LEAVING);

    private final EndpointFixture clock = new EndpointFixture();
    private final EndpointView view = clock.view(1);

    @Test
    void noticeBetweenReservationAndSendStopsTheSend() {
        Reservation r = view.reserve(EndpointFixture.id(0), 10, 100).orElseThrow();
        view.onNotice(EndpointFixture.id(0), clock.now, clock.now.plusSeconds(30));
        assertThat(r.startSend()).isFalse();
        assertThat(view.reserve(EndpointFixture.id(0), 10, 100)).isEmpty();
    }

    @Test
    void staleListDoesNotReactivateLeavingEndpoint() {
        view.onNotice(EndpointFixture.id(0), clock.now, clock.now.plusSeconds(30));
        view.applyList(List.of(EndpointFixture.engine(0, EndpointState.LIVE)));
        assertThat(view.reserve(EndpointFixture.id(0), 10, 100)).isEmpty();
        assertThat(view.find(EndpointFixture.id(0)).orElseThrow().noticedAt()).hasValue(clock.now);
    }

    @Test
    void endpointMissingFromTwoListsIsGone() {
        view.applyList(List.of(EndpointFixture.engine(0, EndpointState.LIVE)));
        view.applyList(List.of());
        assertThat(state()).isEqualTo(EndpointState.LIVE);
        assertThat(view.find(EndpointFixture.id(0)).orElseThrow().isRoutable(clock.millis()))
                .isFalse();
        view.applyList(List.of());
        assertThat(state()).isEqualTo(EndpointState.GONE);
    }

    @Test
    void noticeThatArrivesAfterTheBoundIsCounted() {
        Reservation r = view.reserve(EndpointFixture.id(0), 10, 100).orElseThrow();
        var noticedAt = clock.now;
        clock.advanceMillis(3_001);
        assertThat(r.startSend()).isTrue();
        view.onNotice(EndpointFixture.id(0), noticedAt, noticedAt.plusSeconds(30));
        assertThat(view.sendsAfterBound()).isEqualTo(1);
    }

    @Test
    void failedProbesPauseUntilOneIsAnswered() {
        for (int i = 0; i < 3; i++) {
            view.onProbe(EndpointFixture.id(0), false);
        }
        assertThat(view.find(EndpointFixture.id(0)).orElseThrow().isRoutable(clock.millis()))
                .isFalse();
        view.onProbe(EndpointFixture.id(0), true);
        assertThat(view.find(EndpointFixture.id(0)).orElseThrow().isRoutable(clock.millis()))
                .isTrue();
    }

    @Test
    void reservationReleasesEachTokenOnce() {
        Reservation r = view.reserve(EndpointFixture.id(0), 10, 100).orElseThrow();
        r.onTokens(40);
        assertThat(load()).isWithin(1e-9).of(60);
        r.onTokens(90);
        r.close();
        r.close();
        assertThat(load()).isWithin(1e-9).of(0);
    }

    @Test
    void peerReportsReplaceEarlierOnesAndDecay() {
        report("n1", 100);
        clock.advanceMillis(2_000);
        assertThat(load()).isWithin(1e-6).of(50);
        report("n1", 80);
        report("n2", 20);
        assertThat(load()).isWithin(1e-6).of(100);
        view.onPeerDead(new NodeId("n1"));
        assertThat(load()).isWithin(1e-6).of(20);
    }

    @Test
    void loadReportPutsLargestChangesFirst() {
        view.apply(EndpointFixture.engine(1, EndpointState.LIVE));
        assertThat(view.reserve(EndpointFixture.id(0), 0, 10)).isPresent();
        assertThat(view.reserve(EndpointFixture.id(1), 0, 500)).isPresent();
        assertThat(view.takeLoadReport(1).outstandingTokens())
                .containsExactly(EndpointFixture.id(1), 500L);
        assertThat(view.takeLoadReport(1).outstandingTokens())
                .containsExactly(EndpointFixture.id(0), 10L);
    }

    /**
     * Guards against an incremental refresh that misses changes or removals, by comparing it with a
     * full copy.
     */
    @Test
    void incrementalSnapshotEqualsFullCopy() {
        for (long seed = 1; seed <= 20; seed++) {
            var random = new SplittableRandom(seed);
            EndpointView v = clock.view(0);
            ViewSnapshot incremental = v.newSnapshot();
            for (int step = 0; step < 400; step++) {
                int i = random.nextInt(40);
                var state = STATES.get(random.nextInt(3));
                switch (random.nextInt(6)) {
                    case 0 -> v.onGone(EndpointFixture.id(i));
                    case 1 -> v.onProbe(EndpointFixture.id(i), random.nextBoolean());
                    case 2 -> v.reserve(EndpointFixture.id(i), 1, random.nextInt(100));
                    case 3 -> {
                        clock.now = clock.now.plus(Duration.ofHours(13));
                        v.forgetGone();
                    }
                    default -> v.apply(EndpointFixture.engine(i, state));
                }
                if (random.nextInt(4) == 0) {
                    v.refresh(incremental);
                    ViewSnapshot full = v.newSnapshot();
                    v.refresh(full);
                    assertWithMessage("seed %s step %s", seed, step)
                            .that(incremental.serving(List.of("model/m")))
                            .containsExactlyElementsIn(full.serving(List.of("model/m")));
                    assertThat(full.size()).isEqualTo(full.serving(List.of("model/m")).size());
                }
            }
        }
    }

    private void report(String node, long tokens) {
        view.onPeerLoad(new NodeId(node), new LoadReport(Map.of(EndpointFixture.id(0), tokens)));
    }

    private double load() {
        return view.find(EndpointFixture.id(0)).orElseThrow().load(clock.millis());
    }

    private EndpointState state() {
        return view.find(EndpointFixture.id(0)).orElseThrow().record().state();
    }
}
