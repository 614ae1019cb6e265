package org.carobdoor.node.model;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Optional;
import org.carobdoor.ClientAccount;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;

/** Parses and validates the bodies of completion requests. */
public final class ModelRequestParser {
    /** The limit on generated tokens if the request sets none, as in OpenAI-compatible engines. */
    private static final int DEFAULT_MAX_TOKENS = 1024;

    private static final int MAX_TOKENS_LIMIT = 1 << 20;

    private final ObjectMapper mapper;

    /** Creates a parser. */
    public ModelRequestParser(ObjectMapper mapper) {
        this.mapper = mapper;
    }

    /** Parses {@code bytes}; a failure names the invalid field and the accepted values. */
    public Result<ModelRequest> parse(byte[] bytes, boolean chat, ClientAccount account) {
        JsonNode json;
        try {
            json = mapper.readTree(bytes);
        } catch (JsonProcessingException e) {
            var location = e.getLocation();
            String position =
                    location == null
                            ? ""
                            : " at line "
                                    + location.getLineNr()
                                    + ", column "
                                    + location.getColumnNr();
            return rejected("the body is not valid JSON" + position);
        } catch (IOException e) {
            return rejected("cannot read the body");
        }
        if (!(json instanceof ObjectNode body)) {
            return rejected("the body must be a JSON object");
        }
        Optional<String> problem = findProblem(body, chat);
        if (problem.isPresent()) {
            return rejected(problem.get());
        }
        return Result.ok(
                new ModelRequest(
                        body.get("model").textValue(),
                        account,
                        chat,
                        body,
                        promptOf(chat, body),
                        maxTokensOf(body)));
    }

    private static Optional<String> findProblem(ObjectNode body, boolean chat) {
        if (!body.path("model").isTextual() || body.path("model").textValue().isBlank()) {
            return Optional.of("model: must be the name of a catalogue entry");
        }
        if (body.has("stream") && !body.get("stream").isBoolean()) {
            return Optional.of("stream: must be true or false");
        }
        if (body.has("n") && body.get("n").asInt() != 1) {
            return Optional.of("n: only 1 is supported");
        }
        for (String key : new String[] {"max_tokens", "max_completion_tokens"}) {
            JsonNode value = body.path(key);
            boolean present = body.hasNonNull(key);
            if (present
                    && (!value.isInt()
                            || value.intValue() < 1
                            || value.intValue() > MAX_TOKENS_LIMIT)) {
                return Optional.of(key + ": must be an integer from 1 to " + MAX_TOKENS_LIMIT);
            }
        }
        return chat
                ? findMessagesProblem(body.path("messages"))
                : findPromptProblem(body.path("prompt"));
    }

    private static Optional<String> findMessagesProblem(JsonNode messages) {
        if (!messages.isArray() || messages.isEmpty()) {
            return Optional.of("messages: must be an array with at least one message");
        }
        for (int i = 0; i < messages.size(); i++) {
            JsonNode m = messages.get(i);
            if (!m.path("role").isTextual() || !m.has("content")) {
                return Optional.of("messages[" + i + "]: must have the members role and content");
            }
        }
        return Optional.empty();
    }

    private static Optional<String> findPromptProblem(JsonNode prompt) {
        return prompt.isTextual() ? Optional.empty() : Optional.of("prompt: must be a string");
    }

    static String promptOf(boolean chat, ObjectNode body) {
        if (!chat) {
            return body.path("prompt").asText();
        }
        StringBuilder text = new StringBuilder();
        for (JsonNode m : body.path("messages")) {
            JsonNode content = m.path("content");
            text.append(m.path("role").asText()).append(": ");
            text.append(content.isTextual() ? content.textValue() : content.toString());
            text.append('\n');
        }
        return text.toString();
    }

    static int maxTokensOf(ObjectNode body) {
        int max = body.path("max_completion_tokens").asInt(0);
        return max > 0 ? max : body.path("max_tokens").asInt(DEFAULT_MAX_TOKENS);
    }

    private static Result<ModelRequest> rejected(String detail) {
        return Result.err(FailureKind.REJECTED, "request.parse", "caller", detail);
    }
}
