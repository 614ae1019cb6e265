package org.carobdoor.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Optional;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;

/**
 * What a subcommand works with.
 *
 * @param client the client of the node
 * @param json whether the output is to be JSON
 * @param out where results go
 * @param err where messages go
 */
record Session(AdminClient client, boolean json, PrintStream out, PrintStream err) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Prints the answer's body with {@code table}, or as JSON if that was asked for. */
    ExitCode print(Result<AdminAnswer> result, Printer table) {
        return whenSuccessful(
                result,
                body -> {
                    if (json) {
                        printJson(body);
                    } else {
                        table.print(body);
                    }
                    return ExitCode.OK;
                });
    }

    /** Goes on with the body of a successful answer, or reports why there is none. */
    ExitCode whenSuccessful(Result<AdminAnswer> result, Step next) {
        return switch (result) {
            case Result.Err<AdminAnswer>(var failure) -> {
                String effect =
                        failure.kind() == FailureKind.UNKNOWN
                                ? "; the change may have taken effect, see: carobdoor entry show"
                                : "";
                message(failure + effect, "node-not-reachable");
                yield ExitCode.NOT_REACHABLE;
            }
            case Result.Ok<AdminAnswer>(var answer) when answer.isSuccess() ->
                    next.run(answer.body());
            case Result.Ok<AdminAnswer>(var answer) -> refused(answer);
        };
    }

    private ExitCode refused(AdminAnswer answer) {
        switch (answer.status()) {
            case 401, 403 -> message("the node refused the operator key", "operator-key");
            case 404 -> message("the node has no such entry or path", "no-such-entry");
            case 409 -> message("the entry has another revision", "entry-conflict");
            case 503 -> message(answer.problem(), "platform-not-reachable");
            default -> message(answer.problem(), "request-refused");
        }
        return answer.isConflict() ? ExitCode.CONFLICT : ExitCode.FAILURE;
    }

    /** Prints a message that links to the troubleshooting page. */
    void message(String text, String anchor) {
        err.println("carobdoor: " + text + "; see docs/TROUBLESHOOTING.md#" + anchor);
    }

    void printJson(JsonNode body) {
        try {
            out.println(MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(body));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Reads a file, or reports why that fails. */
    Optional<String> read(String file) {
        try {
            return Optional.of(Files.readString(Path.of(file)));
        } catch (IOException | InvalidPathException e) {
            message("cannot read " + file + ": " + e, "file");
            return Optional.empty();
        }
    }

    /** Prints a body. */
    interface Printer {
        void print(JsonNode body);
    }

    /** Goes on with a body. */
    interface Step {
        ExitCode run(JsonNode body);
    }
}
