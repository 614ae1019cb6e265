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

/** The HTTP interface of the cloud API and the weight store. */
final class CloudRoutes {
    private static final long ASSUMED_WEIGHT_BYTES = 16L << 30;

    private final CloudState state;
    private final PriceTable prices;
    private final FaultSwitch faults;
    private final TokenBucket weightReads;
    private final Consumer<CloudVm> onOrder;

    CloudRoutes(
            CloudState state,
            PriceTable prices,
            FaultSwitch faults,
            PlatformOptions options,
            Consumer<CloudVm> onOrder) {
        this.state = state;
        this.prices = prices;
        this.faults = faults;
        this.weightReads = new TokenBucket(options.weightsPerSecond());
        this.onOrder = onOrder;
    }

    void addTo(Jooby app) {
        StandInServer.get(app, "/cloud/vms", c -> unlessDown(c, this::list));
        StandInServer.get(app, "/cloud/notices", c -> unlessDown(c, this::notices));
        StandInServer.get(app, "/cloud/prices", c -> unlessDown(c, x -> Reply.ok(prices.toJson())));
        StandInServer.post(app, "/cloud/vms", c -> unlessDown(c, this::order));
        StandInServer.delete(app, "/cloud/vms/{id}", c -> unlessDown(c, this::remove));
        StandInServer.get(app, "/weights/{model}/{version}", c -> unlessDown(c, this::weights));
    }

    private Reply unlessDown(Context context, JsonHandler handler) throws Exception {
        return faults.get().cloudDown() ? Reply.dropped() : handler.handle(context);
    }

    private Reply list(Context context) {
        ObjectNode json = Json.object();
        ArrayNode list = json.putArray("vms");
        state.listed(faults.get().listLagMillis()).forEach(vm -> list.add(vm.toJson()));
        return Reply.ok(json);
    }

    private Reply notices(Context context) throws InterruptedException {
        long after = longParameter(context, "after", 0);
        List<ReclaimNotice> found = state.notices(after, longParameter(context, "waitMillis", 0));
        long last = found.isEmpty() ? after : found.getLast().sequence();
        ObjectNode json = Json.object().put("sequence", last);
        ArrayNode list = json.putArray("notices");
        found.forEach(n -> list.add(n.toJson()));
        return Reply.ok(json);
    }

    private Reply order(Context context) throws Exception {
        JsonNode body = Json.body(context);
        String clientToken = body.path("clientToken").asText();
        if (clientToken.isBlank()) {
            return Reply.error(400, "clientToken is missing");
        }
        // A repeated order gets the answer of the first one, whatever has changed since.
        @Nullable String earlier = state.orderedBefore(clientToken);
        if (earlier != null) {
            return ordered(earlier, 200);
        }
        if (!state.acceptsFencing(body.path("fencing").asLong())) {
            return Reply.error(409, "the order carries an old fencing number");
        }
        CloudVm vm = starting(body);
        if (faults.get().refusesStart(vm.zone(), vm.machineClass())) {
            // The reason tells a refusal from a fault on the way, after which the order is unknown.
            return new Reply(
                    503,
                    Json.object()
                            .put("reason", "no_capacity")
                            .put("error", "no capacity for " + vm.machineClass()));
        }
        String id = state.order(clientToken, vm);
        if (!id.equals(vm.id())) {
            return ordered(id, 200);
        }
        onOrder.accept(vm);
        return ordered(id, 201);
    }

    private CloudVm starting(JsonNode body) {
        String zone = body.path("zone").asText();
        String machineClass = body.path("machineClass").asText("gpu-1");
        String pricing = body.path("pricing").asText("reclaimable");
        double price = prices.of(zone, machineClass, pricing);
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

    private Reply ordered(String id, int status) {
        CloudVm vm = state.vm(id);
        String vmState = vm == null ? "gone" : vm.state();
        return new Reply(status, Json.object().put("id", id).put("state", vmState));
    }

    private Reply remove(Context context) {
        long fencing = longParameter(context, "fencing", -1);
        if (fencing >= 0 && !state.acceptsFencing(fencing)) {
            return Reply.error(409, "the order carries an old fencing number");
        }
        boolean removed = state.remove(context.path("id").value());
        return removed ? Reply.ok(Json.object()) : Reply.error(404, "no such VM");
    }

    private Reply weights(Context context) {
        if (!weightReads.tryTake()) {
            return Reply.error(429, "rate limit of the weight store exceeded");
        }
        String model = context.path("model").value();
        String version = context.path("version").value();
        return Reply.ok(
                Json.object()
                        .put("model", model)
                        .put("version", version)
                        .put("bytes", ASSUMED_WEIGHT_BYTES)
                        .put("digest", Integer.toHexString((model + "@" + version).hashCode())));
    }
}
