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

/** Parses and checks the bodies of completion requests. */
public final class ModelRequestParser {
    /** What an OpenAI-compatible engine generates at most when the caller names no bound. */
    private static final int DEFAULT_MAX_TOKENS = 1024;

    private static final int LARGEST_MAX_TOKENS = 1 << 20;

    private final ObjectMapper mapper;

    /** Creates a parser. */
    public ModelRequestParser(ObjectMapper mapper) {
        this.mapper = mapper;
    }

    /** Parses {@code bytes}; a failure names the field and what is allowed. */
    public Result<ModelRequest> parse(byte[] bytes, boolean chat, ClientAccount account) {
        JsonNode json;
        try {
            json = mapper.readTree(bytes);
        } catch (JsonProcessingException e) {
            var at = e.getLocation();
            String where =
                    at == null ? "" : " at line " + at.getLineNr() + ", column " + at.getColumnNr();
            return rejected("the body is not valid JSON" + where);
        } catch (IOException e) {
            return rejected("the body cannot be read");
        }
        if (!(json instanceof ObjectNode body)) {
            return rejected("the body must be a JSON object");
        }
        Optional<String> problem = check(body, chat);
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

    private static Optional<String> check(ObjectNode body, boolean chat) {
        if (!body.path("model").isTextual() || body.path("model").textValue().isBlank()) {
            return Optional.of("model: must be a string that names a catalogue entry");
        }
        if (body.has("stream") && !body.get("stream").isBoolean()) {
            return Optional.of("stream: must be true or false");
        }
        if (body.has("n") && body.get("n").asInt() != 1) {
            return Optional.of("n: only 1 is supported");
        }
        for (String key : new String[] {"max_tokens", "max_completion_tokens"}) {
            JsonNode n = body.path(key);
            boolean present = body.hasNonNull(key);
            if (present && (!n.isInt() || n.intValue() < 1 || n.intValue() > LARGEST_MAX_TOKENS)) {
                return Optional.of(
                        key + ": must be a whole number from 1 to " + LARGEST_MAX_TOKENS);
            }
        }
        return chat ? checkMessages(body.path("messages")) : checkPrompt(body.path("prompt"));
    }

    private static Optional<String> checkMessages(JsonNode messages) {
        if (!messages.isArray() || messages.isEmpty()) {
            return Optional.of("messages: must be an array with at least one message");
        }
        for (int i = 0; i < messages.size(); i++) {
            JsonNode m = messages.get(i);
            if (!m.path("role").isTextual() || !m.has("content")) {
                return Optional.of("messages[" + i + "]: must have a role and a content");
            }
        }
        return Optional.empty();
    }

    private static Optional<String> checkPrompt(JsonNode prompt) {
        return prompt.isTextual() ? Optional.empty() : Optional.of("prompt: must be one string");
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
