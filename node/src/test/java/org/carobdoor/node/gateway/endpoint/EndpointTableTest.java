package org.carobdoor.node.gateway.endpoint;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.DefaultEventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.OptionalLong;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.directory.EndpointEntry;
import org.carobdoor.internal.directory.EndpointNews;
import org.carobdoor.internal.directory.NewsSource;
import org.carobdoor.internal.placement.EndpointLoad;
import org.carobdoor.message.EndpointUse;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against totals of the other nodes' load that differ from the sum of the latest reports.
 */
final class EndpointTableTest {
    private static final EndpointNews NEWS = new EndpointNews(NewsSource.watch(0), 1);

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final EndpointTable table = EndpointTable.create(loop, DecisionLog.create());

    @AfterEach
    void stop() {
        loop.shutdownGracefully();
    }

    private EndpointLoad startEndpoint(String id) {
        table.started(
                new EndpointEntry(
                        new EndpointId(id),
                        "llm",
                        new InetSocketAddress("127.0.0.1", 9),
                        new AvailabilityZone("a"),
                        true,
                        4,
                        0,
                        1,
                        0,
                        false,
                        OptionalLong.empty()),
                NEWS);
        return table.find(new EndpointId(id)).orElseThrow().load();
    }

    @Test
    void reportReplacesThePreviousReportOfTheSameRun() {
        EndpointLoad load = startEndpoint("i-1");
        table.setRemoteUse("b@1", List.of(new EndpointUse("i-1", 3, 700)), true);
        table.setRemoteUse("c@1", List.of(new EndpointUse("i-1", 2, 50)), true);
        table.setRemoteUse("b@1", List.of(new EndpointUse("i-1", 1, 0)), true);
        assertThat(load.totalRunning()).isEqualTo(3);
        assertThat(load.totalUnreadTokens()).isEqualTo(50);

        table.setRemoteUse("c@1", List.of(), true);
        assertThat(load.totalRunning()).isEqualTo(1);
        assertThat(load.totalUnreadTokens()).isEqualTo(0);
    }

    @Test
    void loadOfANodeThatHasLeftIsNotCounted() {
        EndpointLoad load = startEndpoint("i-1");
        table.setRemoteUse("b@1", List.of(new EndpointUse("i-1", 3, 700)), true);
        table.removeRemoteUse("b@1");
        table.removeRemoteUse("b@1");
        assertThat(load.totalRunning()).isEqualTo(0);
        assertThat(load.totalUnreadTokens()).isEqualTo(0);
    }

    @Test
    void loadReportedBeforeTheEndpointStartsIsCounted() {
        table.setRemoteUse("b@1", List.of(new EndpointUse("i-1", 3, 700)), true);
        EndpointLoad load = startEndpoint("i-1");
        assertThat(load.totalRunning()).isEqualTo(3);

        table.setRemoteUse("b@1", List.of(new EndpointUse("i-1", 1, 200)), true);
        assertThat(load.totalUnreadTokens()).isEqualTo(200);
    }

    @Test
    void restartedEndpointKeepsTheReportedLoad() {
        EndpointLoad before = startEndpoint("i-1");
        table.setRemoteUse("b@1", List.of(new EndpointUse("i-1", 3, 700)), true);
        table.removed(before.entry(), NEWS);
        assertThat(startEndpoint("i-1").totalRunning()).isEqualTo(3);
    }
}
