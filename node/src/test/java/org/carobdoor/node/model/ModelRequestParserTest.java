package org.carobdoor.node.model;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import org.carobdoor.ClientAccount;
import org.carobdoor.Result;
import org.junit.jupiter.api.Test;

/**
 * Guards against invalid requests that are forwarded to an engine, or that are rejected with a
 * message that does not name the invalid field.
 */
final class ModelRequestParserTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final ClientAccount ACCOUNT = new ClientAccount("hay");

    private final ModelRequestParser parser = new ModelRequestParser(MAPPER);

    @Test
    void parsesChatRequest() {
        ModelRequest r =
                parse(
                                true,
                                """
                                {"model":"lots","max_tokens":9,
                                 "messages":[{"role":"user","content":"hay"}]}
                                """)
                        .orElseThrow();
        assertThat(r.entry()).isEqualTo("lots");
        assertThat(r.maxTokens()).isEqualTo(9);
        assertThat(r.prompt()).isEqualTo("user: hay\n");
    }

    @Test
    void syntaxErrorNamesPosition() {
        assertThat(problemOf(true, "{\"model\": }")).contains("not valid JSON at line 1, column");
    }

    @Test
    void rejectsBodiesThatAreNotObjects() {
        assertThat(problemOf(true, "[1]")).isEqualTo("the body must be a JSON object");
        assertThat(problemOf(true, "")).isEqualTo("the body must be a JSON object");
    }

    @Test
    void missingModelNamesField() {
        assertThat(problemOf(false, "{\"prompt\":\"p\"}")).startsWith("model: ");
    }

    @Test
    void messageWithoutRoleNamesIndex() {
        assertThat(problemOf(true, "{\"model\":\"m\",\"messages\":[{\"content\":\"x\"}]}"))
                .startsWith("messages[0]: ");
    }

    @Test
    void rejectsMaxTokensOutOfRange() {
        assertThat(problemOf(false, "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":0}"))
                .startsWith("max_tokens: ");
    }

    @Test
    void encodingRoundTrips() throws JsonProcessingException {
        ModelRequest r = parse(false, "{\"model\":\"m\",\"prompt\":\"p\"}").orElseThrow();
        assertThat(ModelRequest.decode(MAPPER, r.encode())).isEqualTo(r);
    }

    private Result<ModelRequest> parse(boolean chat, String json) {
        return parser.parse(json.getBytes(StandardCharsets.UTF_8), chat, ACCOUNT);
    }

    private String problemOf(boolean chat, String json) {
        return switch (parse(chat, json)) {
            case Result.Ok<ModelRequest>(var r) -> throw new AssertionError("accepted: " + r);
            case Result.Err<ModelRequest>(var failure) -> failure.detail();
        };
    }
}
