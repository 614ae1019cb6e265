package org.carobdoor.standins.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.Set;
import org.carobdoor.standins.TestHttp;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a stand-in that does not reproduce the limits and failures of the real platform.
 */
final class PlatformStandInTest {
    private final TestHttp http = new TestHttp();
    private PlatformStandIn platform =
            PlatformStandIn.start(PlatformOptions.defaults().listLagMillis(0));

    @AfterEach
    void close() {
        platform.close();
        http.close();
    }

    @Test
    void compareAndSwapIsAppliedOnceAndReturnsTheCurrentValueOnConflict() throws Exception {
        assertThat(cas("k", 0, "YQ==").json().path("version").asLong()).isEqualTo(1);
        var conflict = cas("k", 0, "Yg==");
        assertThat(conflict.status()).isEqualTo(409);
        assertThat(conflict.json().path("value").asText()).isEqualTo("YQ==");
        assertThat(conflict.json().path("version").asLong()).isEqualTo(1);
    }

    @Test
    void writeWithLostResponseTakesEffect() throws Exception {
        control("faults", "{'loseAnswers': 1}");
        assertThrows(IOException.class, () -> cas("k", 0, "YQ=="));
        var entry = http.get(platform.url() + "/kv/entry?key=k");
        assertThat(entry.json().path("value").asText()).isEqualTo("YQ==");
    }

    @Test
    void outageClosesConnectionsWithoutEffect() throws Exception {
        control("faults", "{'down': true}");
        assertThrows(IOException.class, () -> cas("k", 0, "YQ=="));
        control("faults", "{'down': false}");
        assertThat(http.get(platform.url() + "/kv/entry?key=k").status()).isEqualTo(404);
    }

    @Test
    void watchReturnsWhenAKeyChanges() throws Exception {
        var unused =
                Thread.startVirtualThread(
                        () -> {
                            org.carobdoor.standins.http.StandInServer.sleep(100);
                            platform.keyValues()
                                    .compareAndSet("p/1", 0, org.carobdoor.Bytes.utf8("x"));
                        });
        var changed = http.get(platform.url() + "/kv/watch?prefix=p/&after=0&waitMillis=4000");
        assertThat(changed.json().at("/entries/0/key").asText()).isEqualTo("p/1");
        assertThat(changed.json().path("revision").asLong()).isEqualTo(1);
    }

    @Test
    void callsAboveTheRateLimitAreRejectedAndCounted() throws Exception {
        platform.close();
        platform = PlatformStandIn.start(PlatformOptions.defaults().rates(2, 2000));
        int rejected = 0;
        for (int i = 0; i < 5; i++) {
            rejected += cas("k" + i, 0, "YQ==").status() == 429 ? 1 : 0;
        }
        assertThat(rejected).isAtLeast(2);
        assertThat(platform.stats().path("rateLimited").asInt()).isEqualTo(rejected);
    }

    @Test
    void leaseExcludesOthersUntilItExpiresAndThenTheFencingNumberIncreases() throws Exception {
        assertThat(lease("a").json().path("fencing").asLong()).isEqualTo(1);
        assertThat(lease("a").json().path("fencing").asLong()).isEqualTo(1);
        assertThat(lease("b").status()).isEqualTo(409);
        platform.keyValues().expireLease("fleet");
        assertThat(lease("b").json().path("fencing").asLong()).isEqualTo(2);
        assertThat(lease("a").status()).isEqualTo(409);
    }

    @Test
    void vmListLagsBehindTheNotices() throws Exception {
        platform.register(CloudVm.endpoint("vm-x", "zone-a", "127.0.0.1:1", "engine", Set.of("m")));
        control("faults", "{'listLagMillis': 30000}");
        platform.reclaimZone("zone-a", 60_000);
        var notices = http.get(platform.url() + "/cloud/notices?after=0&waitMillis=1000").json();
        assertThat(notices.at("/notices/0/vmId").asText()).isEqualTo("vm-x");
        assertThat(http.get(platform.url() + "/cloud/vms").json().path("vms")).isEmpty();
        control("faults", "{'listLagMillis': 0}");
        var list = http.get(platform.url() + "/cloud/vms").json();
        assertThat(list.at("/vms/0/state").asText()).isEqualTo("leaving");
    }

    @Test
    void repeatedOrderCreatesOneVmAndOldFencingNumberIsRejected() throws Exception {
        String first = order("t1", 5).json().path("id").asText();
        assertThat(order("t1", 5).json().path("id").asText()).isEqualTo(first);
        assertThat(order("t2", 4).status()).isEqualTo(409);
        control("faults", "{'refuseStarts': ['zone-a']}");
        assertThat(order("t3", 5).status()).isEqualTo(503);
        assertThat(http.get(platform.url() + "/cloud/vms").json().path("vms")).hasSize(1);
    }

    private TestHttp.Response cas(String key, long version, String value) throws Exception {
        return http.post(
                platform.url() + "/kv/cas",
                "{'key':'%s','expectedVersion':%d,'value':'%s'}".formatted(key, version, value));
    }

    private TestHttp.Response lease(String holder) throws Exception {
        return http.post(
                platform.url() + "/kv/lease",
                "{'name':'fleet','holder':'%s','ttlMillis':60000}".formatted(holder));
    }

    private TestHttp.Response order(String clientToken, long fencing) throws Exception {
        return http.post(
                platform.url() + "/cloud/vms",
                "{'clientToken':'%s','zone':'zone-a','machineClass':'gpu-1','fencing':%d}"
                        .formatted(clientToken, fencing));
    }

    private void control(String what, String json) throws Exception {
        assertThat(http.post(platform.url() + "/control/" + what, json).status()).isEqualTo(200);
    }
}
