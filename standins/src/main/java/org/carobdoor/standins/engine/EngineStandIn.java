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
 * A model engine in one process, whose answers {@link AnswerText} defines.
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

    /** Returns the base URL, without a slash at the end. */
    public String url() {
        return server.url();
    }

    /** Returns the port. */
    public int port() {
        return server.port();
    }

    /** Returns IP address and port as the platform's list shows them. */
    public String hostAndPort() {
        return "127.0.0.1:" + server.port();
    }

    /** Changes the faults that {@code json} names, as {@code POST /control/faults} does. */
    public void changeFaults(JsonNode json) {
        state.changeFaults(json);
    }

    /** Returns everything that the engine has received, as {@code GET /ledger} does. */
    public ObjectNode ledger() {
        return state.ledger();
    }

    private void addRoutes(Jooby app) {
        StandInServer.post(app, "/v1/chat/completions", c -> complete(c, true));
        StandInServer.post(app, "/v1/completions", c -> complete(c, false));
        StandInServer.get(app, "/load", c -> answerUnlessSilent(c, state.load(slots, cache)));
        StandInServer.get(app, "/cache-events", this::cacheEvents);
        StandInServer.post(app, "/orders", this::order);
        StandInServer.post(app, "/kv-cache/export", this::exportCache);
        StandInServer.post(app, "/kv-cache/import", this::importCache);
        StandInServer.get(app, "/ledger", c -> Reply.ok(state.ledger()));
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
        EngineCall call = state.receive(requestId, request);
        return new Generation(state, slots, cache, options.prefillMicros(), context, call).run();
    }

    private Reply answerUnlessSilent(Context context, ObjectNode body) {
        if (state.faults().silent()) {
            StandInServer.waitForDisconnect(context);
            return Reply.dropped();
        }
        return Reply.ok(body);
    }

    private Reply cacheEvents(Context context) {
        long after = longParameter(context, "after", 0);
        List<CacheEvent> found = cache.eventsAfter(after);
        long last = found.isEmpty() ? after : found.getLast().sequence();
        ObjectNode json = Json.object().put("sequence", last);
        ArrayNode list = json.putArray("events");
        found.forEach(e -> list.add(e.toJson()));
        return answerUnlessSilent(context, json);
    }

    private Reply order(Context context) throws Exception {
        if (state.faults().silent()) {
            return answerUnlessSilent(context, Json.object());
        }
        JsonNode body = Json.body(context);
        return state.order(body)
                ? Reply.ok(Json.object().put("applied", true))
                : Reply.error(409, "the order carries an old fencing number");
    }

    private Reply exportCache(Context context) throws Exception {
        var request = GenerationRequest.fromJson(Json.body(context), false);
        List<String> blocks = PrefixBlocks.of(request.prompt() + " " + request.resumeText());
        int cached = cache.use(blocks);
        ObjectNode json = Json.object().put("tokens", cached * PrefixBlocks.WORDS);
        json.set("blocks", Json.strings(blocks.subList(0, cached)));
        return answerUnlessSilent(context, json);
    }

    private Reply importCache(Context context) throws Exception {
        List<String> blocks = Json.stringList(Json.body(context).path("blocks"));
        cache.store(blocks);
        return answerUnlessSilent(context, Json.object().put("imported", blocks.size()));
    }

    @Override
    public void close() {
        server.close();
    }
}
