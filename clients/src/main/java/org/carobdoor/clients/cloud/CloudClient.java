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
import org.carobdoor.clients.http.JsonAnswer;
import org.carobdoor.clients.http.JsonCaller;

/**
 * The client of the platform's cloud API. All calls block until their deadline at the latest.
 *
 * <pre>{@code
 * try (var cloud = CloudClient.create("http://10.0.0.2:7000", InstantSource.system())) {
 *     var list = cloud.vms(deadline);
 *     var notices = cloud.notices(0, deadline);
 * }
 * }</pre>
 */
public final class CloudClient implements AutoCloseable {
    // The service must end a waiting call before it times out, or its answer is lost.
    private static final long WAIT_MARGIN_MILLIS = 200;

    private final JsonCaller caller;

    private CloudClient(JsonCaller caller) {
        this.caller = caller;
    }

    /** Makes a client of the cloud API at {@code baseUrl}; nothing is sent yet. */
    public static CloudClient create(String baseUrl, InstantSource clock) {
        return new CloudClient(new JsonCaller(baseUrl, clock));
    }

    /** Reads the list of VMs. A VM that cannot be read is left out. */
    public Result<VmList> vms(Instant deadline) {
        String step = "cloud.vms";
        return caller.get(step, caller.url("cloud/vms").build(), deadline)
                .flatMap(answer -> decode(step, answer, VmDecoder::list));
    }

    /** Waits until there are reclaim notices after {@code after}; an empty list at the deadline. */
    public Result<NoticeList> notices(long after, Instant deadline) {
        long left = caller.until(deadline).toMillis();
        long wait = Math.max(0, left - Math.min(WAIT_MARGIN_MILLIS, left / 2));
        var url =
                caller.url("cloud/notices")
                        .addQueryParameter("after", Long.toString(after))
                        .addQueryParameter("waitMillis", Long.toString(wait))
                        .build();
        String step = "cloud.notices";
        return caller.get(step, url, deadline)
                .flatMap(answer -> decode(step, answer, CloudClient::noticeList));
    }

    /**
     * Orders a VM. Repeat an order whose outcome is unknown with the same client token.
     *
     * @return the identifier of the VM; a failure of kind {@code CONFLICT} if the fencing number is
     *     old, and {@code REJECTED} if the platform has no capacity
     */
    public Result<String> order(VmOrder order, Instant deadline) {
        var body =
                JsonCaller.object()
                        .put("clientToken", order.clientToken())
                        .put("zone", order.zone().value())
                        .put("machineClass", order.machineClass())
                        .put("pricing", order.reclaimable() ? "reclaimable" : "on_demand")
                        .put("fencing", order.fencing());
        String step = "cloud.order";
        return caller.post(step, caller.url("cloud/vms").build(), body, deadline)
                .flatMap(answer -> orderedId(step, answer));
    }

    /** Removes a VM; succeeds also if it is gone already. */
    public Result<Boolean> remove(String vmId, long fencing, Instant deadline) {
        var url =
                caller.url("cloud/vms")
                        .addPathSegment(vmId)
                        .addQueryParameter("fencing", Long.toString(fencing))
                        .build();
        String step = "cloud.remove";
        return caller.delete(step, url, deadline)
                .flatMap(
                        answer ->
                                answer.isConflict()
                                        ? oldFencing(step)
                                        : Result.ok(!answer.isMissing()));
    }

    /** Reads the prices of VMs. */
    public Result<List<VmPrice>> prices(Instant deadline) {
        String step = "cloud.prices";
        return caller.get(step, caller.url("cloud/prices").build(), deadline)
                .flatMap(answer -> decode(step, answer, CloudClient::priceList));
    }

    private Result<String> orderedId(String step, JsonAnswer answer) {
        if (answer.isConflict()) {
            return oldFencing(step);
        }
        String id = answer.body().path("id").asText();
        return id.isEmpty()
                ? caller.failure(FailureKind.UNKNOWN, step, "the answer names no VM")
                : Result.ok(id);
    }

    private <T> Result<T> oldFencing(String step) {
        return caller.failure(FailureKind.CONFLICT, step, "a newer lease holder has given orders");
    }

    private <T> Result<T> decode(String step, JsonAnswer answer, Function<JsonNode, T> decoder) {
        return answer.isSuccess()
                ? Result.ok(decoder.apply(answer.body()))
                : caller.failure(FailureKind.NOT_DONE, step, "status " + answer.status());
    }

    private static NoticeList noticeList(JsonNode json) {
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

    private static List<VmPrice> priceList(JsonNode json) {
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
        caller.close();
    }
}
