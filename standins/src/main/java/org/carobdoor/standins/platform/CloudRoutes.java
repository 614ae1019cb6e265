package org.carobdoor.standins.platform;

import static org.carobdoor.standins.http.StandInServer.longParameter;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jooby.Context;
import io.jooby.Jooby;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.carobdoor.standins.http.Json;
import org.carobdoor.standins.http.JsonHandler;
import org.carobdoor.standins.http.Reply;
import org.carobdoor.standins.http.StandInServer;
import org.jspecify.annotations.Nullable;

/** The HTTP routes of the cloud API and the weight store. */
final class CloudRoutes {
    private static final long WEIGHT_BYTES = 16L << 30;

    private final CloudState state;
    private final PriceTable prices;
    private final ActiveFaults faults;
    private final TokenBucket weightReadLimit;
    private final Consumer<CloudVm> onOrder;

    CloudRoutes(
            CloudState state,
            PriceTable prices,
            ActiveFaults faults,
            PlatformOptions options,
            Consumer<CloudVm> onOrder) {
        this.state = state;
        this.prices = prices;
        this.faults = faults;
        this.weightReadLimit = new TokenBucket(options.weightsPerSecond());
        this.onOrder = onOrder;
    }

    void addTo(Jooby app) {
        StandInServer.get(app, "/cloud/vms", c -> handleUnlessDown(c, this::listVms));
        StandInServer.get(app, "/cloud/notices", c -> handleUnlessDown(c, this::notices));
        StandInServer.get(
                app,
                "/cloud/prices",
                c -> handleUnlessDown(c, unused -> Reply.ok(prices.toJson())));
        StandInServer.post(app, "/cloud/vms", c -> handleUnlessDown(c, this::order));
        StandInServer.delete(app, "/cloud/vms/{id}", c -> handleUnlessDown(c, this::remove));
        StandInServer.get(
                app, "/weights/{model}/{version}", c -> handleUnlessDown(c, this::weights));
    }

    private Reply handleUnlessDown(Context context, JsonHandler handler) throws Exception {
        return faults.get().cloudDown() ? Reply.dropped() : handler.handle(context);
    }

    private Reply listVms(Context context) {
        ObjectNode json = Json.object();
        ArrayNode list = json.putArray("vms");
        state.listAsOf(faults.get().listLagMillis()).forEach(vm -> list.add(vm.toJson()));
        return Reply.ok(json);
    }

    private Reply notices(Context context) throws InterruptedException {
        long after = longParameter(context, "after", 0);
        List<ReclaimNotice> notices = state.notices(after, longParameter(context, "waitMillis", 0));
        long last = notices.isEmpty() ? after : notices.getLast().sequence();
        ObjectNode json = Json.object().put("sequence", last);
        ArrayNode list = json.putArray("notices");
        notices.forEach(n -> list.add(n.toJson()));
        return Reply.ok(json);
    }

    private Reply order(Context context) throws Exception {
        JsonNode body = Json.body(context);
        String clientToken = body.path("clientToken").asText();
        if (clientToken.isBlank()) {
            return Reply.error(400, "clientToken is missing");
        }
        // A repeated order returns the VM of the first one, even if a new order would be refused.
        @Nullable String orderedVmId = state.vmOfOrder(clientToken);
        if (orderedVmId != null) {
            return orderResponse(orderedVmId, 200);
        }
        if (!state.acceptFencing(body.path("fencing").asLong())) {
            return Reply.error(409, "the fencing token is lower than that of an earlier order");
        }
        CloudVm vm = newVm(body);
        if (faults.get().refusesStart(vm.zone(), vm.machineClass())) {
            // The reason distinguishes a refused order from a 503 of an intermediary, which leaves
            // the client without knowing whether the order took effect.
            return new Reply(
                    503,
                    Json.object()
                            .put("reason", "no_capacity")
                            .put("error", "no capacity for " + vm.machineClass()));
        }
        String id = state.order(clientToken, vm);
        if (!id.equals(vm.id())) {
            return orderResponse(id, 200);
        }
        onOrder.accept(vm);
        return orderResponse(id, 201);
    }

    private CloudVm newVm(JsonNode body) {
        String zone = body.path("zone").asText();
        String machineClass = body.path("machineClass").asText("gpu-1");
        String pricing = body.path("pricing").asText("reclaimable");
        double price = prices.pricePerHour(zone, machineClass, pricing);
        return new CloudVm(
                state.newId(),
                "endpoint",
                zone,
                "",
                machineClass,
                pricing,
                "starting",
                "engine",
                Set.of(),
                true,
                price);
    }

    private Reply orderResponse(String id, int status) {
        CloudVm vm = state.vm(id);
        String vmState = vm == null ? "gone" : vm.state();
        return new Reply(status, Json.object().put("id", id).put("state", vmState));
    }

    private Reply remove(Context context) {
        long fencing = longParameter(context, "fencing", -1);
        if (fencing >= 0 && !state.acceptFencing(fencing)) {
            return Reply.error(409, "the fencing token is lower than that of an earlier order");
        }
        boolean removed = state.remove(context.path("id").value());
        return removed ? Reply.ok(Json.object()) : Reply.error(404, "no such VM");
    }

    private Reply weights(Context context) {
        if (!weightReadLimit.tryAcquire()) {
            return Reply.error(429, "rate limit of the weight store exceeded");
        }
        String model = context.path("model").value();
        String version = context.path("version").value();
        return Reply.ok(
                Json.object()
                        .put("model", model)
                        .put("version", version)
                        .put("bytes", WEIGHT_BYTES)
                        .put("digest", Integer.toHexString((model + "@" + version).hashCode())));
    }
}
