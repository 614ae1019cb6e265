package org.carobdoor.node.model;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;

/** Formats answers of language models as OpenAI-compatible JSON. */
public final class AnswerFormat {
    private final boolean chat;
    private final String id;
    private final String model;
    private final long created;

    /**
     * What all chunks of an answer share.
     *
     * @param chat whether it answers a chat completion, else a text completion
     * @param model the name of the catalogue entry
     * @param created when the request arrived
     */
    public record Header(boolean chat, String model, Instant created) {}

    /** Creates the format of one answer with the id {@code id}. */
    public AnswerFormat(Header header, String id) {
        this.chat = header.chat();
        this.id = id;
        this.model = header.model();
        this.created = header.created().getEpochSecond();
    }

    /** Returns the first chunk of a chat answer, which only names the role. */
    public String roleChunk() {
        ObjectNode choice = choice();
        choice.putObject("delta").put("role", "assistant").put("content", "");
        choice.putNull("finish_reason");
        return envelope(true, choice).toString();
    }

    /** Returns a chunk with {@code text}. */
    public String chunk(String text) {
        ObjectNode choice = choice();
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
        ObjectNode choice = choice();
        if (chat) {
            choice.putObject("delta");
        } else {
            choice.put("text", "");
        }
        choice.put("finish_reason", finishReason);
        return envelope(true, choice).toString();
    }

    /** Returns the chunk with the token counts, for callers that asked for it. */
    public String usageChunk(int promptTokens, int answerTokens) {
        ObjectNode json = envelope(true, choice());
        json.putArray("choices");
        usage(json, promptTokens, answerTokens);
        return json.toString();
    }

    /** Returns the whole answer. */
    public String whole(String text, String finishReason, int promptTokens, int answerTokens) {
        ObjectNode choice = choice();
        if (chat) {
            choice.putObject("message").put("role", "assistant").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", finishReason);
        ObjectNode json = envelope(false, choice);
        usage(json, promptTokens, answerTokens);
        return json.toString();
    }

    private static ObjectNode choice() {
        return JsonNodeFactory.instance.objectNode().put("index", 0);
    }

    private static void usage(ObjectNode json, int promptTokens, int answerTokens) {
        json.putObject("usage")
                .put("prompt_tokens", promptTokens)
                .put("completion_tokens", answerTokens)
                .put("total_tokens", promptTokens + answerTokens);
    }

    private ObjectNode envelope(boolean streamed, ObjectNode choice) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("id", id);
        json.put("object", object(streamed));
        json.put("created", created);
        json.put("model", model);
        json.putArray("choices").add(choice);
        return json;
    }

    private String object(boolean streamed) {
        if (!chat) {
            return "text_completion";
        }
        return streamed ? "chat.completion.chunk" : "chat.completion";
    }
}
