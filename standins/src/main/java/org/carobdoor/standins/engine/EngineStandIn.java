package org.carobdoor.standins.engine;

import static org.carobdoor.standins.http.StandInServer.longParameter;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jooby.Context;
import io.jooby.Jooby;
import java.time.InstantSource;
import java.util.List;
import org.carobdoor.standins.http.Json;
import org.carobdoor.standins.http.Reply;
import org.carobdoor.standins.http.StandInServer;

/**
 * An in-process model engine that generates the text defined by {@link AnswerText}.
 *
 * <pre>{@code
 * try (var engine = EngineStandIn.start(EngineOptions.defaults().models("draft"))) {
 *     platform.register(
 *             CloudVm.endpoint("vm-a", "zone-a", engine.hostAndPort(), "engine", Set.of("draft")));
 * }
 * }</pre>
 */
public final class EngineStandIn implements AutoCloseable {
    private final EngineOptions options;
    private final EngineState state;
    private final BatchSlots slots;
    private final PrefixCache cache;
    private final StandInServer server;

    private EngineStandIn(EngineOptions options) {
        this.options = options;
        var clock = InstantSource.system();
        state = new EngineState(clock, options);
        slots = new BatchSlots(options.maxConcurrent());
        cache =
                new PrefixCache(
                        clock,
                        options.cacheBlocks(),
                        options.eventLagMillis(),
                        options.eventGapEvery());
        server = StandInServer.start(options.port(), this::addRoutes);
    }

    /** Starts an engine. */
    public static EngineStandIn start(EngineOptions options) {
        return new EngineStandIn(options);
    }

    /** Returns the base URL, without a trailing slash. */
    public String url() {
        return server.url();
    }

    /** Returns the port that the engine listens on. */
    public int port() {
        return server.port();
    }

    /** Returns IP address and port in the format of the platform's list of VMs. */
    public String hostAndPort() {
        return "127.0.0.1:" + server.port();
    }

    /** Sets the faults that {@code json} contains, like {@code POST /control/faults}. */
    public void changeFaults(JsonNode json) {
        state.changeFaults(json);
    }

    /** Returns the requests and orders received, in the format of {@code GET /ledger}. */
    public ObjectNode requestLog() {
        return state.requestLog();
    }

    private void addRoutes(Jooby app) {
        StandInServer.post(app, "/v1/chat/completions", c -> complete(c, true));
        StandInServer.post(app, "/v1/completions", c -> complete(c, false));
        StandInServer.get(app, "/load", c -> respondUnlessSilent(c, state.load(slots, cache)));
        StandInServer.get(app, "/cache-events", this::cacheEvents);
        StandInServer.post(app, "/orders", this::order);
        StandInServer.post(app, "/kv-cache/export", this::exportCache);
        StandInServer.post(app, "/kv-cache/import", this::importCache);
        StandInServer.get(app, "/ledger", c -> Reply.ok(state.requestLog()));
        StandInServer.post(
                app,
                "/control/faults",
                c -> {
                    state.changeFaults(Json.body(c));
                    return Reply.ok(Json.object());
                });
    }

    private Reply complete(Context context, boolean chat) throws Exception {
        var request = GenerationRequest.fromJson(Json.body(context), chat);
        String requestId = context.header("X-Request-Id").value("");
        RequestRecord record = state.addRequest(requestId, request);
        return new Generation(state, slots, cache, options.prefillMicros(), context, record).run();
    }

    private Reply respondUnlessSilent(Context context, ObjectNode body) {
        if (state.faults().silent()) {
            StandInServer.waitForDisconnect(context);
            return Reply.dropped();
        }
        return Reply.ok(body);
    }

    private Reply cacheEvents(Context context) {
        long after = longParameter(context, "after", 0);
        List<CacheEvent> events = cache.eventsAfter(after);
        long last = events.isEmpty() ? after : events.getLast().sequence();
        ObjectNode json = Json.object().put("sequence", last);
        ArrayNode list = json.putArray("events");
        events.forEach(e -> list.add(e.toJson()));
        return respondUnlessSilent(context, json);
    }

    private Reply order(Context context) throws Exception {
        if (state.faults().silent()) {
            return respondUnlessSilent(context, Json.object());
        }
        JsonNode body = Json.body(context);
        return state.applyOrder(body)
                ? Reply.ok(Json.object().put("applied", true))
                : Reply.error(409, "the fencing token is lower than that of an earlier order");
    }

    private Reply exportCache(Context context) throws Exception {
        var request = GenerationRequest.fromJson(Json.body(context), false);
        List<String> blocks = PrefixBlocks.of(request.prompt() + " " + request.resumeText());
        int cached = cache.lookUpPrefix(blocks);
        ObjectNode json = Json.object().put("tokens", cached * PrefixBlocks.WORDS_PER_BLOCK);
        json.set("blocks", Json.strings(blocks.subList(0, cached)));
        return respondUnlessSilent(context, json);
    }

    private Reply importCache(Context context) throws Exception {
        List<String> blocks = Json.stringList(Json.body(context).path("blocks"));
        cache.store(blocks);
        return respondUnlessSilent(context, Json.object().put("imported", blocks.size()));
    }

    @Override
    public void close() {
        server.close();
    }
}
