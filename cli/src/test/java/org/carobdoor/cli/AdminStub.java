package org.carobdoor.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jooby.Context;
import io.jooby.Jooby;
import java.io.IOException;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.SplittableRandom;
import org.carobdoor.clients.catalogue.CatalogueStore;
import org.carobdoor.clients.catalogue.EditOutcome;
import org.carobdoor.clients.catalogue.StoredEntry;
import org.carobdoor.standins.fake.FakeKeyValueStore;
import org.carobdoor.standins.http.Json;
import org.carobdoor.standins.http.Reply;
import org.carobdoor.standins.http.StandInServer;

/** A stub of a node's admin interface, backed by a real catalogue store in memory. */
final class AdminStub implements AutoCloseable {
    private static final String KEY = "operator-key";

    private final CatalogueStore store =
            CatalogueStore.create(
                    FakeKeyValueStore.create(1, InstantSource.system()),
                    InstantSource.system(),
                    new SplittableRandom(2));
    private final StandInServer server = StandInServer.start(0, this::addRoutes);
    volatile boolean drained;

    String url() {
        return server.url();
    }

    static String key() {
        return KEY;
    }

    private void addRoutes(Jooby app) {
        StandInServer.get(app, "/admin/status", c -> requireKey(c, Reply.ok(json(STATUS))));
        StandInServer.get(app, "/admin/burn", c -> requireKey(c, Reply.ok(json(BURN))));
        StandInServer.get(app, "/admin/catalogue", c -> requireKey(c, list()));
        StandInServer.get(app, "/admin/catalogue/{name}", c -> requireKey(c, show(c)));
        StandInServer.get(app, "/admin/catalogue/{name}/history", c -> requireKey(c, history(c)));
        StandInServer.delete(app, "/admin/catalogue/{name}", c -> requireKey(c, edit(c, true)));
        app.put(
                "/admin/catalogue/{name}",
                c -> StandInServer.answer(c, x -> requireKey(x, edit(x, false))));
        StandInServer.post(
                app,
                "/admin/drain",
                c -> {
                    drained = true;
                    return new Reply(202, Json.object());
                });
    }

    private static Reply requireKey(Context context, Reply reply) {
        boolean allowed = context.header("Authorization").value("").equals("Bearer " + KEY);
        return allowed ? reply : Reply.error(401, "wrong key");
    }

    private Reply list() {
        ObjectNode json = Json.object();
        var entries = json.putArray("entries");
        store.list(deadline()).orElseThrow().entries().forEach(e -> entries.add(toJson(e)));
        return Reply.ok(json);
    }

    private Reply show(Context context) {
        var entry = store.get(context.path("name").value(), deadline()).orElseThrow();
        return entry.map(e -> Reply.ok(toJson(e))).orElseGet(() -> Reply.error(404, "none"));
    }

    private Reply history(Context context) {
        ObjectNode json = Json.object();
        var changes = json.putArray("changes");
        store.history(context.path("name").value(), deadline())
                .orElseThrow()
                .forEach(
                        c ->
                                changes.addObject()
                                        .put("revision", c.revision())
                                        .put("changedBy", c.changedBy())
                                        .put("changedAt", c.changedAt().toString())
                                        .put("removed", c.removed())
                                        .put("digest", c.digest())
                                        .put("text", c.text()));
        return Reply.ok(json);
    }

    private Reply edit(Context context, boolean removal) {
        String name = context.path("name").value();
        long expected = context.query("expected").longValue();
        String operator = context.header("X-Operator").value();
        EditOutcome outcome =
                removal
                        ? store.remove(name, expected, operator, deadline())
                        : store.put(name, expected, context.body().value(), operator, deadline());
        return switch (outcome) {
            case EditOutcome.Applied(var entry) ->
                    Reply.ok(Json.object().put("name", name).put("revision", entry.revision()));
            case EditOutcome.Conflict conflict -> conflict(name, expected, conflict.current());
            case EditOutcome.Invalid(var problems) ->
                    new Reply(400, Json.object().put("detail", problems.toString()));
            case EditOutcome.Failed(var failure) ->
                    new Reply(503, Json.object().put("detail", failure.toString()));
        };
    }

    private static Reply conflict(String name, long expected, Optional<StoredEntry> current) {
        ObjectNode json = Json.object().put("name", name).put("expected", expected);
        current.ifPresent(e -> json.set("current", toJson(e)));
        return new Reply(409, json);
    }

    private static ObjectNode toJson(StoredEntry entry) {
        return Json.object()
                .put("name", entry.name())
                .put("revision", entry.revision())
                .put("removed", entry.removed())
                .put("changedBy", entry.changedBy())
                .put("changedAt", entry.changedAt().toString())
                .put("text", entry.text());
    }

    private static ObjectNode json(String text) throws IOException {
        return (ObjectNode) new ObjectMapper().readTree(text.replace('\'', '"'));
    }

    private static Instant deadline() {
        return Instant.now().plusSeconds(5);
    }

    private static final String STATUS =
            """
            {'node':'n1','zone':'zone-a','state':'ALIVE','platformReachable':true,
             'replicaDigest':'d1','members':[{'id':'n2','zone':'zone-b','state':'SUSPECT',
             'platformReachable':false}],'endpoints':[{'id':'vm-7','zone':'zone-c',
             'service':'engine','models':['large','small'],'state':'LIVE','inFlight':4}],
             'entries':{'drafts':3}}
            """;
    private static final String BURN =
            """
            {'node':'n1','entries':[{'name':'<drafts>','objective':95.0,'good':90,'total':100,
             'budgetLeft':-1.0,'burn':{'5m':2.5,'1h':0.5,'30m':1.0,'6h':0.25},
             'causes':{'reclaim':4,'shed':6},'cost':1.25,'recomputedTokens':321}]}
            """;

    @Override
    public void close() {
        server.close();
    }
}
