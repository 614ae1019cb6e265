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
 * The context in which a subcommand runs.
 *
 * @param client the client of the node
 * @param json whether to print results as JSON
 * @param out the stream for results
 * @param err the stream for messages
 */
record Session(AdminClient client, boolean json, PrintStream out, PrintStream err) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Prints the response body with {@code table}, or as JSON if {@code json} is set. */
    ExitCode print(Result<AdminResponse> result, BodyPrinter table) {
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

    /** Passes the body of a successful response to {@code next}, or reports the failure. */
    ExitCode whenSuccessful(Result<AdminResponse> result, BodyHandler next) {
        return switch (result) {
            case Result.Err<AdminResponse>(var failure) -> {
                String effect =
                        failure.kind() == FailureKind.UNKNOWN
                                ? "; the change may have taken effect, see: carobdoor entry show"
                                : "";
                message(failure + effect, "node-not-reachable");
                yield ExitCode.NOT_REACHABLE;
            }
            case Result.Ok<AdminResponse>(var response) when response.isSuccess() ->
                    next.run(response.body());
            case Result.Ok<AdminResponse>(var response) -> reportRejection(response);
        };
    }

    private ExitCode reportRejection(AdminResponse response) {
        switch (response.status()) {
            case 401, 403 -> message("the node rejected the operator key", "operator-key");
            case 404 -> message("the node has no such entry or path", "no-such-entry");
            case 409 -> message("the entry does not have the expected revision", "entry-conflict");
            case 503 -> message(response.problemText(), "platform-not-reachable");
            default -> message(response.problemText(), "request-refused");
        }
        return response.isConflict() ? ExitCode.CONFLICT : ExitCode.FAILURE;
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

    /** Reads a file; prints a message and returns empty on failure. */
    Optional<String> read(String file) {
        try {
            return Optional.of(Files.readString(Path.of(file)));
        } catch (IOException | InvalidPathException e) {
            message("cannot read " + file + ": " + e, "file");
            return Optional.empty();
        }
    }

    /** Prints a response body. */
    interface BodyPrinter {
        void print(JsonNode body);
    }

    /** Processes a response body and returns the exit code. */
    interface BodyHandler {
        ExitCode run(JsonNode body);
    }
}
