package org.carobdoor.node.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.carobdoor.standins.gateway.BackendStandIn;
import org.carobdoor.standins.gateway.CloudStandIn;
import org.carobdoor.standins.gateway.StoreStandIn;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a new duty holder that repeats the reports of the former one with other counts.
 */
final class UsageTakeoverTest {

    @ParameterizedTest
    @ValueSource(strings = {"El Sharkawy", "a=1 b", "hay"})
    void repeatedReportsAreEqualWhateverTheAccountIsCalled(String account)
            throws InterruptedException {
        try (StoreStandIn store = StoreStandIn.start();
                CloudStandIn cloud = CloudStandIn.start();
                BackendStandIn endpoint = BackendStandIn.start("i-1")) {
            endpoint.register(store, "desk", "ready");
            store.put(
                    "op/config",
                    TestGateway.configuration(1, "")
                            .replace("\"name\":\"hay\"", "\"name\":\"" + account + "\""));
            try (TestGateway second = playTakeover(store, cloud)) {
                TestGateway.await(() -> windowsOfBothHolders(cloud) >= 2);
                assertThat(second.get("/safe/a").statusCode()).isEqualTo(200);
            }
            assertThat(cloud.calls().stream().map(CloudStandIn.Call::holder).distinct())
                    .containsExactly("n1", "n2");
            Map<String, List<String>> byWindow =
                    cloud.calls().stream()
                            .collect(
                                    Collectors.groupingBy(
                                            UsageTakeoverTest::window,
                                            Collectors.mapping(
                                                    CloudStandIn.Call::body, Collectors.toList())));
            byWindow.forEach(
                    (window, bodies) ->
                            assertWithMessage(window).that(bodies.stream().distinct()).hasSize(1));
        }
    }

    private static long windowsOfBothHolders(CloudStandIn cloud) {
        return cloud.calls().stream()
                .collect(
                        Collectors.groupingBy(
                                UsageTakeoverTest::window,
                                Collectors.mapping(CloudStandIn.Call::holder, Collectors.toSet())))
                .values()
                .stream()
                .filter(holders -> holders.size() == 2)
                .count();
    }

    private static String window(CloudStandIn.Call call) {
        return call.body().split(",", 2)[0];
    }

    /** Returns a node that has taken over the duties of one that has reported and stopped. */
    private static TestGateway playTakeover(StoreStandIn store, CloudStandIn cloud)
            throws InterruptedException {
        try (TestGateway first = TestGateway.start("n1", store, cloud)) {
            TestGateway.await(first::isReady);
            TestGateway.await(
                    () -> {
                        first.get("/safe/a");
                        return cloud.calls().size() >= 2;
                    });
        }
        TestGateway second = TestGateway.start("n2", store, cloud);
        TestGateway.await(second::isReady);
        return second;
    }
}
