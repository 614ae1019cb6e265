package org.carobdoor.node.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.deployment.CallerLimits;
import org.carobdoor.internal.request.PollClock;
import org.carobdoor.node.gateway.forward.Forwarder;
import org.carobdoor.node.gateway.front.CallerServer;
import org.carobdoor.node.gateway.front.Exchange;
import org.carobdoor.node.gateway.front.RequestHandler;
import org.carobdoor.standins.FreePorts;
import org.carobdoor.standins.RawCaller;
import org.carobdoor.standins.gateway.RawEndpointStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against requests that are written to an endpoint which began to leave after it had been
 * chosen, while a connection to it was being opened.
 */
final class ChosenEndpointLeavesTest {

    private enum Change {
        DRAINING,
        REMOVED,
        RESTARTED,
        SAYS_THAT_IT_LEAVES
    }

    private final SingleLoopNode node = new SingleLoopNode();
    private final InetSocketAddress callers =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.next());
    private final RawEndpointStandIn chosen = SingleLoopNode.endpoint();
    private final RawEndpointStandIn other = SingleLoopNode.endpoint();

    @BeforeEach
    void start() throws Exception {
        node.start("i-1", chosen);
    }

    @AfterEach
    void stop() {
        node.close();
        chosen.close();
        other.close();
    }

    private void apply(Change change) {
        node.put("i-2", other, true, 1);
        switch (change) {
            case DRAINING -> node.put("i-1", chosen, false, 1);
            case REMOVED ->
                    node.directory()
                            .remove(
                                    new EndpointId("i-1"),
                                    node.nextRevision(),
                                    SingleLoopNode.WATCH,
                                    0);
            case RESTARTED -> node.put("i-1", chosen, false, 2);
            case SAYS_THAT_IT_LEAVES ->
                    node.directory()
                            .recordLeaving(
                                    SingleLoopNode.entry("i-1", chosen, true, 1),
                                    System.nanoTime());
            default -> throw new AssertionError(change);
        }
    }

    @ParameterizedTest
    @EnumSource
    void requestGoesToAnotherEndpoint(Change change) throws Exception {
        Forwarder forwarder = Forwarder.create(node.state());
        RequestHandler handler =
                new RequestHandler() {
                    @Override
                    public void handle(Exchange exchange) {
                        forwarder.handle(exchange);
                        apply(change);
                    }

                    @Override
                    public CallerLimits limits() {
                        return forwarder.limits();
                    }

                    @Override
                    public boolean isStopping() {
                        return false;
                    }
                };
        try (CallerServer server =
                        CallerServer.open(
                                node.group(), callers, handler, PollClock.create(), node.log());
                RawCaller caller = RawCaller.connect(callers)) {
            assertThat(server.connectionCount()).isAtLeast(0);
            caller.send(RawCaller.request("POST", "/once/a", "r-1"));
            assertThat(caller.read("POST").status()).isEqualTo(200);
            assertThat(other.requests()).hasSize(1);
            assertThat(chosen.requests()).isEmpty();
        }
    }
}
