package org.carobdoor.node.model;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.carobdoor.Bytes;
import org.carobdoor.ClientAccount;

/**
 * A validated request to a language model.
 *
 * @param entry the name of the catalogue entry
 * @param account the client account of the caller
 * @param chat true for a chat completion, false for a text completion
 * @param body the caller's request body
 * @param prompt the text of the prompt, used for prefix-affinity routing
 * @param maxTokens the maximum number of tokens to generate
 */
public record ModelRequest(
        String entry,
        ClientAccount account,
        boolean chat,
        ObjectNode body,
        String prompt,
        int maxTokens) {

    /** A typical ratio for English text. */
    private static final int CHARACTERS_PER_TOKEN = 4;

    /**
     * Returns an estimate of the number of prompt tokens. Nodes have no tokenizer; only the engine
     * knows the exact number.
     */
    public int estimatedPromptTokens() {
        return prompt.length() / CHARACTERS_PER_TOKEN + 1;
    }

    /** Encodes the request as JSON, so that another node can resume it. */
    public Bytes encode() {
        ObjectNode json = body.objectNode();
        json.put("entry", entry);
        json.put("account", account.value());
        json.put("chat", chat);
        json.set("body", body);
        return Bytes.utf8(json.toString());
    }

    /**
     * Decodes a request encoded by {@link #encode}.
     *
     * @throws JsonProcessingException if {@code bytes} is not valid JSON
     */
    public static ModelRequest decode(ObjectMapper mapper, Bytes bytes)
            throws JsonProcessingException {
        JsonNode json = mapper.readTree(bytes.toUtf8());
        ObjectNode body = (ObjectNode) json.get("body");
        boolean chat = json.get("chat").asBoolean();
        return new ModelRequest(
                json.get("entry").asText(),
                new ClientAccount(json.get("account").asText()),
                chat,
                body,
                ModelRequestParser.promptOf(chat, body),
                ModelRequestParser.maxTokensOf(body));
    }
}
