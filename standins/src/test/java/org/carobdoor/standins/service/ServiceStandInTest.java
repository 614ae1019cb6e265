package org.carobdoor.standins.service;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import org.carobdoor.standins.TestHttp;
import org.junit.jupiter.api.Test;

/** Guards against a request that took effect but is missing from the request log. */
final class ServiceStandInTest {
    @Test
    void requestWithLostResponseIsLogged() throws Exception {
        try (var http = new TestHttp();
                var service = ServiceStandIn.start(ServiceOptions.defaults().id("bids"))) {
            http.post(service.url() + "/control/faults", "{'loseAnswers': 1}");
            String url = service.url() + "/bids/7";
            assertThrows(IOException.class, () -> http.post(url, "{'amount': 3}"));
            assertThat(http.post(url, "{'amount': 4}").status()).isEqualTo(200);
            assertThat(service.requestLog().path("requests")).hasSize(2);
            assertThat(service.requestLog().at("/requests/0/body").asText()).contains("3");
        }
    }
}
