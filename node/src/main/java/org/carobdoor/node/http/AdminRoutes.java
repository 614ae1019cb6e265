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

/** Routes of the operator API. */
public final class AdminRoutes {
    private static final Duration EDIT_TIMEOUT = Duration.ofSeconds(5);
    private static final int ACCEPTED = 202;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final Authenticator authenticator;
    private final CatalogueStore catalogue;
    private final Consumer<StoredEntry> onEntryWritten;
    private final Supplier<ObjectNode> statusReport;
    private final Supplier<ObjectNode> burnReport;
    private final Runnable drain;
    private final InstantSource clock;

    /**
     * Creates the routes.
     *
     * @param onEntryWritten receives each entry changed through this node, for immediate
     *     propagation to the other nodes
     * @param statusReport supplies the state of this node and its view of the cluster
     * @param burnReport supplies the consumption of the error budgets
     * @param drain starts a graceful shutdown without blocking
     */
    public AdminRoutes(
            Authenticator authenticator,
            CatalogueStore catalogue,
            Consumer<StoredEntry> onEntryWritten,
            Supplier<ObjectNode> statusReport,
            Supplier<ObjectNode> burnReport,
            Runnable drain,
            InstantSource clock) {
        this.authenticator = authenticator;
        this.catalogue = catalogue;
        this.onEntryWritten = onEntryWritten;
        this.statusReport = statusReport;
        this.burnReport = burnReport;
        this.drain = drain;
        this.clock = clock;
    }

    /** Registers the routes with {@code app}. */
    public void install(Jooby app) {
        app.get("/admin/status", requireOperator(ctx -> sendJson(ctx, statusReport.get())));
        app.get("/admin/burn", requireOperator(ctx -> sendJson(ctx, burnReport.get())));
        app.get("/admin/catalogue", requireOperator(this::listEntries));
        app.get("/admin/catalogue/{name}", requireOperator(this::showEntry));
        app.get("/admin/catalogue/{name}/history", requireOperator(this::showHistory));
        app.put("/admin/catalogue/{name}", requireOperator(this::putEntry));
        app.delete("/admin/catalogue/{name}", requireOperator(this::removeEntry));
        app.post("/admin/drain", requireOperator(this::startDrain));
    }

    private Route.Handler requireOperator(Route.Handler handler) {
        return ctx -> {
            authenticator.authenticateOperator(ctx);
            return handler.apply(ctx);
        };
    }

    private Context listEntries(Context ctx) {
        return switch (catalogue.list(deadline())) {
            case Result.Err<CatalogueList>(var failure) -> throw storeProblem(failure);
            case Result.Ok<CatalogueList>(var list) -> {
                ObjectNode json = JsonNodeFactory.instance.objectNode();
                ArrayNode entries = json.putArray("entries");
                list.entries().forEach(e -> entries.add(toJson(e)));
                ArrayNode unreadable = json.putArray("unreadable");
                list.unreadableKeys().forEach(unreadable::add);
                yield sendJson(ctx, json);
            }
        };
    }

    private Context showEntry(Context ctx) {
        String name = ctx.path("name").value();
        return switch (catalogue.get(name, deadline())) {
            case Result.Err<Optional<StoredEntry>>(var failure) -> throw storeProblem(failure);
            case Result.Ok<Optional<StoredEntry>>(var entry) ->
                    sendJson(ctx, toJson(entry.orElseThrow(() -> entryNotFound(name))));
        };
    }

    private Context showHistory(Context ctx) {
        return switch (catalogue.history(ctx.path("name").value(), deadline())) {
            case Result.Err<List<EntryChange>>(var failure) -> throw storeProblem(failure);
            case Result.Ok<List<EntryChange>>(var changes) -> {
                ObjectNode json = JsonNodeFactory.instance.objectNode();
                ArrayNode list = json.putArray("changes");
                changes.forEach(c -> list.add(toJson(c)));
                yield sendJson(ctx, json);
            }
        };
    }

    private Context putEntry(Context ctx) {
        FormBodyCheck.rejectForm(ctx);
        String text = new String(ctx.body().bytes(), StandardCharsets.UTF_8);
        String name = ctx.path("name").value();
        return respond(
                ctx,
                name,
                catalogue.put(name, expectedRevision(ctx), text, operator(ctx), deadline()));
    }

    private Context removeEntry(Context ctx) {
        String name = ctx.path("name").value();
        return respond(
                ctx,
                name,
                catalogue.remove(name, expectedRevision(ctx), operator(ctx), deadline()));
    }

    private Context respond(Context ctx, String name, EditOutcome outcome) {
        return switch (outcome) {
            case EditOutcome.Applied(var entry) -> {
                onEntryWritten.accept(entry);
                yield sendJson(ctx, toJson(entry));
            }
            case EditOutcome.Conflict(var expected, var current, var proposed) -> {
                ctx.setResponseCode(CONFLICT);
                ObjectNode json = JsonNodeFactory.instance.objectNode();
                json.put("name", name).put("expected", expected).put("proposed", proposed);
                current.ifPresent(e -> json.set("current", toJson(e)));
                yield sendJson(ctx, json);
            }
            case EditOutcome.Invalid(var problems) -> {
                String detail =
                        String.join("\n", problems.stream().map(EntryProblem::toString).toList());
                throw new ProblemException(Problem.notRun(BAD_REQUEST, "entry-invalid", detail));
            }
            case EditOutcome.Failed(var failure) -> throw storeProblem(failure);
        };
    }

    private Context startDrain(Context ctx) {
        drain.run();
        ctx.setResponseCode(ACCEPTED);
        return sendJson(ctx, JsonNodeFactory.instance.objectNode().put("state", "draining"));
    }

    private Instant deadline() {
        return clock.instant().plus(EDIT_TIMEOUT);
    }

    private static long expectedRevision(Context ctx) {
        String expected = ctx.query("expected").valueOrNull();
        if (expected == null || !expected.matches("\\d{1,18}")) {
            throw new ProblemException(
                    Problem.notRun(
                            BAD_REQUEST,
                            "expected-revision",
                            "query parameter expected=<revision> is required, 0 to create"));
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
                            "header X-Operator must name the author of the change"));
        }
        return operator.strip();
    }

    private static ProblemException entryNotFound(String name) {
        return new ProblemException(
                Problem.notRun(NOT_FOUND, "unknown-entry", "entry not found: \"" + name + "\""));
    }

    private static ProblemException storeProblem(Failure failure) {
        boolean unknown = failure.kind() == FailureKind.UNKNOWN;
        return new ProblemException(
                unknown
                        ? Problem.outcomeUnknown(
                                SERVICE_UNAVAILABLE, "edit-unresolved", failure.toString())
                        : Problem.notRun(
                                SERVICE_UNAVAILABLE, "platform-unavailable", failure.toString()));
    }

    private static ObjectNode toJson(StoredEntry entry) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("name", entry.name())
                .put("revision", entry.revision())
                .put("removed", entry.removed())
                .put("changedBy", entry.changedBy())
                .put("changedAt", entry.changedAt().toString())
                .put("text", entry.text());
    }

    private static ObjectNode toJson(EntryChange change) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("revision", change.revision())
                .put("changedBy", change.changedBy())
                .put("changedAt", change.changedAt().toString())
                .put("removed", change.removed())
                .put("digest", change.digest())
                .put("text", change.text());
    }

    private static Context sendJson(Context ctx, ObjectNode json) {
        ctx.setResponseType("application/json");
        return ctx.send(json.toString().getBytes(StandardCharsets.UTF_8));
    }
}
