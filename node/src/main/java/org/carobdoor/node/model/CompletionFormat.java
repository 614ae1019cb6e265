package org.carobdoor.node.model;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;

/** Formats answers of language models as JSON in the format of the OpenAI completions API. */
public final class CompletionFormat {
    private final boolean chat;
    private final String id;
    private final String model;
    private final long created;

    /**
     * The properties that all chunks of an answer share.
     *
     * @param chat true for a chat completion, false for a text completion
     * @param model the name of the catalogue entry
     * @param created the time at which the request arrived
     */
    public record Header(boolean chat, String model, Instant created) {}

    /** Creates a formatter for one answer with the id {@code id}. */
    public CompletionFormat(Header header, String id) {
        this.chat = header.chat();
        this.id = id;
        this.model = header.model();
        this.created = header.created().getEpochSecond();
    }

    /** Returns the first chunk of a chat answer, which contains only the role. */
    public String roleChunk() {
        ObjectNode choice = newChoice();
        choice.putObject("delta").put("role", "assistant").put("content", "");
        choice.putNull("finish_reason");
        return envelope(true, choice).toString();
    }

    /** Returns a chunk with {@code text}. */
    public String chunk(String text) {
        ObjectNode choice = newChoice();
        if (chat) {
            choice.putObject("delta").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.putNull("finish_reason");
        return envelope(true, choice).toString();
    }

    /** Returns the last chunk, with the finish reason. */
    public String lastChunk(String finishReason) {
        ObjectNode choice = newChoice();
        if (chat) {
            choice.putObject("delta");
        } else {
            choice.put("text", "");
        }
        choice.put("finish_reason", finishReason);
        return envelope(true, choice).toString();
    }

    /** Returns the chunk with the token counts ({@code stream_options.include_usage}). */
    public String usageChunk(int promptTokens, int answerTokens) {
        ObjectNode json = envelope(true, newChoice());
        json.putArray("choices");
        putUsage(json, promptTokens, answerTokens);
        return json.toString();
    }

    /** Returns the complete, non-streamed answer. */
    public String completion(String text, String finishReason, int promptTokens, int answerTokens) {
        ObjectNode choice = newChoice();
        if (chat) {
            choice.putObject("message").put("role", "assistant").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", finishReason);
        ObjectNode json = envelope(false, choice);
        putUsage(json, promptTokens, answerTokens);
        return json.toString();
    }

    private static ObjectNode newChoice() {
        return JsonNodeFactory.instance.objectNode().put("index", 0);
    }

    private static void putUsage(ObjectNode json, int promptTokens, int answerTokens) {
        json.putObject("usage")
                .put("prompt_tokens", promptTokens)
                .put("completion_tokens", answerTokens)
                .put("total_tokens", promptTokens + answerTokens);
    }

    private ObjectNode envelope(boolean streamed, ObjectNode choice) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("id", id);
        json.put("object", objectType(streamed));
        json.put("created", created);
        json.put("model", model);
        json.putArray("choices").add(choice);
        return json;
    }

    private String objectType(boolean streamed) {
        if (!chat) {
            return "text_completion";
        }
        return streamed ? "chat.completion.chunk" : "chat.completion";
    }
}
