package org.carobdoor.cli;

import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** The subcommands for nodes and endpoints. */
final class NodeCommands {
    private NodeCommands() {}

    /** Shows the status of a node and the cluster members it knows. */
    @Parameters(commandDescription = "Show a node, the members it knows and the entries in force")
    static final class Status extends Command {
        Status(CommonOptions common) {
            super(common);
        }

        @Override
        ExitCode run(Session session) {
            return session.print(
                    session.client().get("admin/status"), body -> print(session, body));
        }

        private static void print(Session session, JsonNode body) {
            var node = new TextTable("NODE", "ZONE", "STATE", "PLATFORM", "ENDPOINTS", "DIGEST");
            node.addRow(
                    body.path("node").asText(),
                    body.path("zone").asText(),
                    body.path("state").asText(),
                    reachability(body),
                    body.path("endpoints").size(),
                    body.path("replicaDigest").asText());
            var members = new TextTable("MEMBER", "ZONE", "STATE", "PLATFORM");
            for (JsonNode m : body.path("members")) {
                members.addRow(
                        m.path("id").asText(),
                        m.path("zone").asText(),
                        m.path("state").asText(),
                        reachability(m));
            }
            var entries = new TextTable("ENTRY", "REVISION");
            body.path("entries")
                    .properties()
                    .forEach(e -> entries.addRow(e.getKey(), e.getValue()));
            session.out().println(node);
            session.out().println(members);
            session.out().print(entries);
        }

        private static String reachability(JsonNode node) {
            return node.path("platformReachable").asBoolean() ? "reachable" : "not reachable";
        }
    }

    /** Lists the endpoints that a node knows. */
    @Parameters(commandDescription = "List the endpoints that a node knows")
    static final class Endpoints extends Command {
        Endpoints(CommonOptions common) {
            super(common);
        }

        @Override
        ExitCode run(Session session) {
            return session.whenSuccessful(
                    session.client().get("admin/status"),
                    body -> {
                        if (session.json()) {
                            session.printJson(body.path("endpoints"));
                        } else {
                            session.out().print(table(body.path("endpoints")));
                        }
                        return ExitCode.OK;
                    });
        }

        private static TextTable table(JsonNode endpoints) {
            var table = new TextTable("ID", "ZONE", "SERVICE", "STATE", "IN FLIGHT", "MODELS");
            for (JsonNode e : endpoints) {
                List<String> models = new ArrayList<>();
                e.path("models").forEach(m -> models.add(m.asText()));
                table.addRow(
                        e.path("id").asText(),
                        e.path("zone").asText(),
                        e.path("service").asText(),
                        e.path("state").asText(),
                        e.path("inFlight").asLong(),
                        String.join(",", models));
            }
            return table;
        }
    }

    /** Stops a node gracefully. */
    @Parameters(commandDescription = "Let a node finish its work, hand over the rest and exit")
    static final class Drain extends Command {
        Drain(CommonOptions common) {
            super(common);
        }

        @Override
        ExitCode run(Session session) {
            return session.print(
                    session.client().post("admin/drain"),
                    body -> session.out().println("the node is draining"));
        }
    }
}
