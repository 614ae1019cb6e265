package org.carobdoor.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicLong;
import org.carobdoor.standins.http.Json;

/**
 * The loaded models, faults, request log and load reports of an engine. This class is thread-safe.
 */
final class EngineState {
    private final InstantSource clock;
    private final EngineOptions options;
    private final Set<String> models = new TreeSet<>();
    private final List<RequestRecord> requests = new ArrayList<>();
    private final List<ObjectNode> orders = new ArrayList<>();
    private final AtomicLong outstandingTokens = new AtomicLong();
    private EngineFaults faults;
    private int lastSilencedSequence;
    private int lastDroppedSequence;
    private long highestFencing;
    private String role = "serve";
    private ObjectNode currentLoad = Json.object();
    private ObjectNode publishedLoad = Json.object();
    private long sampledAtMillis;

    EngineState(InstantSource clock, EngineOptions options) {
        this.clock = clock;
        this.options = options;
        this.faults = options.faults();
        models.addAll(options.models());
    }

    synchronized EngineFaults faults() {
        return faults;
    }

    /**
     * Sets the faults that {@code json} contains. {@code silenceOpen} and {@code dropOpen} apply to
     * the requests received so far, and not to later ones.
     */
    synchronized void changeFaults(JsonNode json) {
        faults = faults.with(json);
        if (json.path("silenceOpen").asBoolean(false)) {
            lastSilencedSequence = requests.size();
        }
        if (json.path("dropOpen").asBoolean(false)) {
            lastDroppedSequence = requests.size();
        }
    }

    synchronized boolean isSilent(RequestRecord record) {
        return faults.silent() || record.sequence() <= lastSilencedSequence;
    }

    synchronized boolean isDropped(RequestRecord record) {
        return record.sequence() <= lastDroppedSequence;
    }

    synchronized RequestRecord addRequest(String requestId, GenerationRequest request) {
        var record = new RequestRecord(requests.size() + 1L, clock.millis(), requestId, request);
        requests.add(record);
        return record;
    }

    synchronized ObjectNode requestLog() {
        ObjectNode json = Json.object().put("id", options.id());
        ArrayNode list = json.putArray("requests");
        requests.forEach(r -> list.add(r.toJson()));
        json.putArray("orders").addAll(orders);
        return json;
    }

    void addOutstanding(long tokens) {
        outstandingTokens.addAndGet(tokens);
    }

    synchronized boolean serves(String model) {
        return models.contains(model);
    }

    /** Executes an order. Returns false if its fencing token is old. */
    synchronized boolean applyOrder(JsonNode json) {
        long fencing = json.path("fencing").asLong();
        boolean accepted = faults.ignoreFencing() || fencing >= highestFencing;
        ObjectNode entry = Json.object().put("accepted", accepted);
        entry.set("order", json);
        orders.add(entry);
        if (!accepted) {
            return false;
        }
        highestFencing = Math.max(highestFencing, fencing);
        execute(json);
        return true;
    }

    private void execute(JsonNode json) {
        String model = json.path("model").asText();
        switch (json.path("action").asText()) {
            case "load_model", "load_adapter", "load_version" -> models.add(model);
            case "unload_model", "unload_adapter" -> models.remove(model);
            case "set_role" -> role = json.path("role").asText();
            default -> throw new IllegalArgumentException("unknown action in order " + json);
        }
    }

    /** Returns the load as of the sample before the last, or the current one without a lag. */
    synchronized ObjectNode load(BatchSlots slots, PrefixCache cache) {
        long now = clock.millis();
        if (now - sampledAtMillis >= options.loadLagMillis() || publishedLoad.isEmpty()) {
            ObjectNode sample = sample(now, slots, cache);
            publishedLoad =
                    currentLoad.isEmpty() || options.loadLagMillis() == 0 ? sample : currentLoad;
            currentLoad = sample;
            sampledAtMillis = now;
        }
        return publishedLoad;
    }

    private ObjectNode sample(long now, BatchSlots slots, PrefixCache cache) {
        ObjectNode json =
                Json.object()
                        .put("id", options.id())
                        .put("sampledAtMillis", now)
                        .put("running", slots.running())
                        .put("waiting", slots.waiting())
                        .put("outstandingTokens", outstandingTokens.get())
                        .put("maxConcurrent", options.maxConcurrent())
                        .put("cacheBlocksUsed", cache.size())
                        .put("cacheBlocks", cache.capacity())
                        .put("role", role);
        json.set("models", Json.strings(models));
        return json;
    }
}
