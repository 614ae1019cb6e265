package org.carobdoor.clients.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;
import org.carobdoor.clients.http.JsonHttpClient;
import org.carobdoor.clients.http.JsonResponse;

/**
 * A client of the platform's cloud API. Calls block until their deadline at most.
 *
 * <pre>{@code
 * try (var cloud = CloudClient.create("http://10.0.0.2:7000", InstantSource.system())) {
 *     var list = cloud.vms(deadline);
 *     var notices = cloud.notices(0, deadline);
 * }
 * }</pre>
 */
public final class CloudClient implements AutoCloseable {
    // The service must answer a long poll before the client times out, or the response is lost.
    private static final long RESPONSE_MARGIN_MILLIS = 200;

    private final JsonHttpClient client;

    private CloudClient(JsonHttpClient client) {
        this.client = client;
    }

    /** Creates a client of the cloud API at {@code baseUrl}; sends nothing yet. */
    public static CloudClient create(String baseUrl, InstantSource clock) {
        return new CloudClient(new JsonHttpClient(baseUrl, clock));
    }

    /** Reads the list of VMs. VMs that cannot be decoded are omitted. */
    public Result<VmList> vms(Instant deadline) {
        String step = "cloud.vms";
        return client.get(step, client.url("cloud/vms").build(), deadline)
                .flatMap(response -> decode(step, response, VmDecoder::decodeList));
    }

    /**
     * Waits for reclaim notices with a sequence number above {@code after}. Returns an empty list
     * if there are none by the deadline.
     */
    public Result<NoticeList> notices(long after, Instant deadline) {
        long remaining = client.timeUntil(deadline).toMillis();
        long wait = Math.max(0, remaining - Math.min(RESPONSE_MARGIN_MILLIS, remaining / 2));
        var url =
                client.url("cloud/notices")
                        .addQueryParameter("after", Long.toString(after))
                        .addQueryParameter("waitMillis", Long.toString(wait))
                        .build();
        String step = "cloud.notices";
        return client.get(step, url, deadline)
                .flatMap(response -> decode(step, response, CloudClient::decodeNotices));
    }

    /**
     * Orders a VM. An order whose outcome is unknown must be repeated with the same client token.
     *
     * @return the identifier of the VM; a failure of kind {@code CONFLICT} if the fencing token is
     *     stale, and of kind {@code REJECTED} if the platform has no capacity
     */
    public Result<String> order(VmOrder order, Instant deadline) {
        var body =
                JsonHttpClient.newObject()
                        .put("clientToken", order.clientToken())
                        .put("zone", order.zone().value())
                        .put("machineClass", order.machineClass())
                        .put("pricing", order.reclaimable() ? "reclaimable" : "on_demand")
                        .put("fencing", order.fencing());
        String step = "cloud.order";
        return client.post(step, client.url("cloud/vms").build(), body, deadline)
                .flatMap(response -> decodeVmId(step, response));
    }

    /** Removes a VM. The result is false if the VM did not exist. */
    public Result<Boolean> remove(String vmId, long fencing, Instant deadline) {
        var url =
                client.url("cloud/vms")
                        .addPathSegment(vmId)
                        .addQueryParameter("fencing", Long.toString(fencing))
                        .build();
        String step = "cloud.remove";
        return client.delete(step, url, deadline)
                .flatMap(
                        response ->
                                response.isConflict()
                                        ? staleFencing(step)
                                        : Result.ok(!response.isNotFound()));
    }

    /** Reads the prices of VMs. */
    public Result<List<VmPrice>> prices(Instant deadline) {
        String step = "cloud.prices";
        return client.get(step, client.url("cloud/prices").build(), deadline)
                .flatMap(response -> decode(step, response, CloudClient::decodePrices));
    }

    private Result<String> decodeVmId(String step, JsonResponse response) {
        if (response.isConflict()) {
            return staleFencing(step);
        }
        String id = response.body().path("id").asText();
        return id.isEmpty()
                ? client.failure(FailureKind.UNKNOWN, step, "response contains no VM id")
                : Result.ok(id);
    }

    private <T> Result<T> staleFencing(String step) {
        return client.failure(
                FailureKind.CONFLICT,
                step,
                "fencing token is stale: a newer lease holder has placed an order");
    }

    private <T> Result<T> decode(
            String step, JsonResponse response, Function<JsonNode, T> decoder) {
        return response.isSuccess()
                ? Result.ok(decoder.apply(response.body()))
                : client.failure(FailureKind.NOT_DONE, step, "status " + response.status());
    }

    private static NoticeList decodeNotices(JsonNode json) {
        List<ReclaimNotice> notices = new ArrayList<>();
        for (JsonNode n : json.path("notices")) {
            notices.add(
                    new ReclaimNotice(
                            n.path("sequence").asLong(),
                            n.path("vmId").asText(),
                            Instant.ofEpochMilli(n.path("noticedAtMillis").asLong()),
                            Instant.ofEpochMilli(n.path("reclaimAtMillis").asLong())));
        }
        return new NoticeList(json.path("sequence").asLong(), notices);
    }

    private static List<VmPrice> decodePrices(JsonNode json) {
        List<VmPrice> prices = new ArrayList<>();
        for (JsonNode p : json.path("prices")) {
            prices.add(
                    new VmPrice(
                            new AvailabilityZone(p.path("zone").asText()),
                            p.path("machineClass").asText(),
                            p.path("pricing").asText().equals("reclaimable"),
                            p.path("pricePerHour").asDouble()));
        }
        return List.copyOf(prices);
    }

    @Override
    public void close() {
        client.close();
    }
}
