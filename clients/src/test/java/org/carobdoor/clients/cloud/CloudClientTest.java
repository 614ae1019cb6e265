package org.carobdoor.clients.cloud;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Set;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;
import org.carobdoor.internal.endpoint.EndpointState;
import org.carobdoor.standins.platform.CloudVm;
import org.carobdoor.standins.platform.PlatformFaults;
import org.carobdoor.standins.platform.PlatformOptions;
import org.carobdoor.standins.platform.PlatformStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against VMs that are decoded wrongly and against orders that start two VMs. */
final class CloudClientTest {
    private static final AvailabilityZone ZONE = new AvailabilityZone("zone-a");

    private final PlatformStandIn platform =
            PlatformStandIn.start(PlatformOptions.defaults().listLagMillis(0));
    private final CloudClient cloud = CloudClient.create(platform.url(), InstantSource.system());

    @AfterEach
    void close() {
        cloud.close();
        platform.close();
    }

    @Test
    void vmsWithoutAnIpAddressAreOmitted() {
        platform.register(endpoint("vm-x", "127.0.0.1:80"));
        platform.register(endpoint("vm-y", "localhost:80"));
        platform.register(endpoint("vm-z", "127.0.0.1:99999"));
        platform.register(CloudVm.entry("vm-e", "zone-b", "127.0.0.1:90"));
        VmList list = cloud.vms(deadline()).orElseThrow();
        assertThat(list.endpoints()).hasSize(1);
        var endpoint = list.endpoints().getFirst();
        assertThat(endpoint.models()).containsExactly("m");
        assertThat(endpoint.state()).isEqualTo(EndpointState.LIVE);
        assertThat(endpoint.address().getPort()).isEqualTo(80);
        assertThat(list.entries().getFirst().zone()).isEqualTo(new AvailabilityZone("zone-b"));
    }

    @Test
    void noticesCarryTheirTimes() {
        platform.register(endpoint("vm-x", "127.0.0.1:80"));
        platform.reclaimVm("vm-x", 4_000);
        NoticeList list = cloud.notices(0, deadline()).orElseThrow();
        ReclaimNotice notice = list.notices().getFirst();
        assertThat(notice.vmId()).isEqualTo("vm-x");
        assertThat(notice.reclaimAt()).isEqualTo(notice.noticedAt().plusMillis(4_000));
        var none = cloud.notices(list.sequence(), Instant.now().plusMillis(200));
        assertThat(none.orElseThrow().notices()).isEmpty();
    }

    @Test
    void repeatedOrderReturnsTheSameVm() {
        String id = cloud.order(order("t1", 3), deadline()).orElseThrow();
        assertThat(cloud.order(order("t1", 3), deadline()).orElseThrow()).isEqualTo(id);
        assertThat(kind(cloud.order(order("t2", 2), deadline()))).isEqualTo(FailureKind.CONFLICT);
        assertThat(cloud.vms(deadline()).orElseThrow().endpoints().getFirst().state())
                .isEqualTo(EndpointState.STARTING);
        assertThat(kind(cloud.remove(id, 2, deadline()))).isEqualTo(FailureKind.CONFLICT);
        assertThat(cloud.remove(id, 3, deadline()).orElseThrow()).isTrue();
        assertThat(cloud.remove(id, 3, deadline()).orElseThrow()).isFalse();
    }

    @Test
    void rejectedOrderIsDistinguishedFromAnOutage() {
        platform.setFaults(new PlatformFaults(false, false, 0, 0, 0, Set.of("zone-a")));
        assertThat(kind(cloud.order(order("t1", 1), deadline()))).isEqualTo(FailureKind.REJECTED);
        platform.setFaults(new PlatformFaults(false, true, 0, 0, 0, Set.of()));
        assertThat(kind(cloud.order(order("t1", 1), deadline()))).isEqualTo(FailureKind.UNKNOWN);
        assertThat(kind(cloud.vms(deadline()))).isEqualTo(FailureKind.NOT_DONE);
    }

    @Test
    void pricesAndWeightsAreRead() {
        assertThat(cloud.prices(deadline()).orElseThrow())
                .contains(new VmPrice(ZONE, "gpu-1", true, 1.0));
        try (var weights = WeightStoreClient.create(platform.url(), InstantSource.system())) {
            assertThat(weights.describe("m", "2", deadline()).orElseThrow().version())
                    .isEqualTo("2");
        }
    }

    @Test
    void readAboveTheRateLimitOfTheWeightStoreIsNotDone() {
        // One read per 1,000 s, so that the limit rejects the second read even on a slow machine.
        try (var slow = PlatformStandIn.start(PlatformOptions.defaults().weightRate(0.001));
                var weights = WeightStoreClient.create(slow.url(), InstantSource.system())) {
            weights.describe("m", "2", deadline()).orElseThrow();
            Result<WeightSet> second = weights.describe("m", "2", deadline());
            assertThat(kind(second)).isEqualTo(FailureKind.NOT_DONE);
        }
    }

    private static CloudVm endpoint(String id, String address) {
        return CloudVm.endpoint(id, "zone-a", address, "engine", Set.of("m"));
    }

    private static VmOrder order(String clientToken, long fencing) {
        return new VmOrder(clientToken, ZONE, "gpu-1", true, fencing);
    }

    private static FailureKind kind(Result<?> result) {
        return ((Result.Err<?>) result).failure().kind();
    }

    private static Instant deadline() {
        return Instant.now().plusSeconds(3);
    }
}
