package org.carobdoor.node.http;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.Route;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.carobdoor.Failure;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;
import org.carobdoor.clients.catalogue.CatalogueList;
import org.carobdoor.clients.catalogue.CatalogueStore;
import org.carobdoor.clients.catalogue.EditOutcome;
import org.carobdoor.clients.catalogue.EntryChange;
import org.carobdoor.clients.catalogue.EntryProblem;
import org.carobdoor.clients.catalogue.StoredEntry;

/** The routes of operators. */
public final class AdminRoutes {
    private static final Duration EDIT_TIMEOUT = Duration.ofSeconds(5);
    private static final int ACCEPTED = 202;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final Authenticator authenticator;
    private final CatalogueStore catalogue;
    private final Consumer<StoredEntry> onWritten;
    private final Supplier<ObjectNode> status;
    private final Supplier<ObjectNode> burn;
    private final Runnable drain;
    private final InstantSource clock;

    /**
     * Creates the routes.
     *
     * @param onWritten gets each entry that an operator has changed here, to spread it at once
     * @param status describes this node and what it knows
     * @param burn describes how the error budgets are used
     * @param drain starts a graceful stop and returns at once
     */
    public AdminRoutes(
            Authenticator authenticator,
            CatalogueStore catalogue,
            Consumer<StoredEntry> onWritten,
            Supplier<ObjectNode> status,
            Supplier<ObjectNode> burn,
            Runnable drain,
            InstantSource clock) {
        this.authenticator = authenticator;
        this.catalogue = catalogue;
        this.onWritten = onWritten;
        this.status = status;
        this.burn = burn;
        this.drain = drain;
        this.clock = clock;
    }

    /** Adds the routes to {@code app}. */
    public void install(Jooby app) {
        app.get("/admin/status", guarded(ctx -> json(ctx, status.get())));
        app.get("/admin/burn", guarded(ctx -> json(ctx, burn.get())));
        app.get("/admin/catalogue", guarded(this::list));
        app.get("/admin/catalogue/{name}", guarded(this::show));
        app.get("/admin/catalogue/{name}/history", guarded(this::history));
        app.put("/admin/catalogue/{name}", guarded(this::put));
        app.delete("/admin/catalogue/{name}", guarded(this::remove));
        app.post("/admin/drain", guarded(this::startDrain));
    }

    private Route.Handler guarded(Route.Handler handler) {
        return ctx -> {
            authenticator.checkOperator(ctx);
            return handler.apply(ctx);
        };
    }

    private Context list(Context ctx) {
        return switch (catalogue.list(deadline())) {
            case Result.Err<CatalogueList>(var failure) -> throw failed(failure);
            case Result.Ok<CatalogueList>(var list) -> {
                ObjectNode json = JsonNodeFactory.instance.objectNode();
                ArrayNode entries = json.putArray("entries");
                list.entries().forEach(e -> entries.add(describe(e)));
                ArrayNode unreadable = json.putArray("unreadable");
                list.unreadableKeys().forEach(unreadable::add);
                yield json(ctx, json);
            }
        };
    }

    private Context show(Context ctx) {
        String name = ctx.path("name").value();
        return switch (catalogue.get(name, deadline())) {
            case Result.Err<Optional<StoredEntry>>(var failure) -> throw failed(failure);
            case Result.Ok<Optional<StoredEntry>>(var entry) ->
                    json(ctx, describe(entry.orElseThrow(() -> noEntry(name))));
        };
    }

    private Context history(Context ctx) {
        return switch (catalogue.history(ctx.path("name").value(), deadline())) {
            case Result.Err<List<EntryChange>>(var failure) -> throw failed(failure);
            case Result.Ok<List<EntryChange>>(var changes) -> {
                ObjectNode json = JsonNodeFactory.instance.objectNode();
                ArrayNode list = json.putArray("changes");
                changes.forEach(c -> list.add(describe(c)));
                yield json(ctx, json);
            }
        };
    }

    private Context put(Context ctx) {
        BodyTypes.checkNoForm(ctx);
        String text = new String(ctx.body().bytes(), StandardCharsets.UTF_8);
        String name = ctx.path("name").value();
        return answer(
                ctx, name, catalogue.put(name, expected(ctx), text, operator(ctx), deadline()));
    }

    private Context remove(Context ctx) {
        String name = ctx.path("name").value();
        return answer(ctx, name, catalogue.remove(name, expected(ctx), operator(ctx), deadline()));
    }

    private Context answer(Context ctx, String name, EditOutcome outcome) {
        return switch (outcome) {
            case EditOutcome.Applied(var entry) -> {
                onWritten.accept(entry);
                yield json(ctx, describe(entry));
            }
            case EditOutcome.Conflict(var expected, var current, var proposed) -> {
                ctx.setResponseCode(CONFLICT);
                ObjectNode json = JsonNodeFactory.instance.objectNode();
                json.put("name", name).put("expected", expected).put("proposed", proposed);
                current.ifPresent(e -> json.set("current", describe(e)));
                yield json(ctx, json);
            }
            case EditOutcome.Invalid(var problems) -> {
                String detail =
                        String.join("\n", problems.stream().map(EntryProblem::toString).toList());
                throw new ProblemException(Problem.notRun(BAD_REQUEST, "entry-invalid", detail));
            }
            case EditOutcome.Failed(var failure) -> throw failed(failure);
        };
    }

    private Context startDrain(Context ctx) {
        drain.run();
        ctx.setResponseCode(ACCEPTED);
        return json(ctx, JsonNodeFactory.instance.objectNode().put("state", "draining"));
    }

    private Instant deadline() {
        return clock.instant().plus(EDIT_TIMEOUT);
    }

    private static long expected(Context ctx) {
        String expected = ctx.query("expected").valueOrNull();
        if (expected == null || !expected.matches("\\d{1,18}")) {
            throw new ProblemException(
                    Problem.notRun(
                            BAD_REQUEST,
                            "expected-revision",
                            "the query needs expected=<revision>, 0 to create"));
        }
        return Long.parseLong(expected);
    }

    private static String operator(Context ctx) {
        String operator = ctx.header("X-Operator").valueOrNull();
        if (operator == null || operator.isBlank()) {
            throw new ProblemException(
                    Problem.notRun(
                            BAD_REQUEST,
                            "operator-missing",
                            "the header X-Operator must say who makes the change"));
        }
        return operator.strip();
    }

    private static ProblemException noEntry(String name) {
        return new ProblemException(
                Problem.notRun(NOT_FOUND, "unknown-entry", "no entry \"" + name + "\""));
    }

    private static ProblemException failed(Failure failure) {
        boolean unknown = failure.kind() == FailureKind.UNKNOWN;
        return new ProblemException(
                unknown
                        ? Problem.unknown(
                                SERVICE_UNAVAILABLE, "edit-unresolved", failure.toString())
                        : Problem.notRun(
                                SERVICE_UNAVAILABLE, "platform-unavailable", failure.toString()));
    }

    private static ObjectNode describe(StoredEntry e) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("name", e.name())
                .put("revision", e.revision())
                .put("removed", e.removed())
                .put("changedBy", e.changedBy())
                .put("changedAt", e.changedAt().toString())
                .put("text", e.text());
    }

    private static ObjectNode describe(EntryChange c) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("revision", c.revision())
                .put("changedBy", c.changedBy())
                .put("changedAt", c.changedAt().toString())
                .put("removed", c.removed())
                .put("digest", c.digest())
                .put("text", c.text());
    }

    private static Context json(Context ctx, ObjectNode json) {
        ctx.setResponseType("application/json");
        return ctx.send(json.toString().getBytes(StandardCharsets.UTF_8));
    }
}
