package org.carobdoor.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;

/**
 * The text that an {@link EngineStandIn} generates. Token i depends only on the prompt and i.
 *
 * <p>A token is six hexadecimal digits and a space. The digits are the upper 24 bits of output i of
 * a SplitMix64 generator whose seed is the 64-bit FNV-1a hash (Fowler, Noll and Vo, 1991) of the
 * prompt's UTF-8 bytes. A test can therefore check that a text is complete and belongs to its
 * request, whichever engines generated it.
 *
 * <pre>{@code
 * String prompt = AnswerText.chatPrompt(request.get("messages"));
 * assertThat(answer).isEqualTo(AnswerText.text(prompt, 0, maxTokens));
 * }</pre>
 */
public final class AnswerText {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private AnswerText() {}

    /** Returns token {@code i}, counted from 0, of the text generated for {@code prompt}. */
    public static String token(String prompt, int i) {
        return token(hash(prompt), i);
    }

    /** Returns the concatenated tokens from {@code from} (inclusive) to {@code to} (exclusive). */
    public static String text(String prompt, int from, int to) {
        long hash = hash(prompt);
        var text = new StringBuilder();
        for (int i = from; i < to; i++) {
            text.append(token(hash, i));
        }
        return text.toString();
    }

    /** Returns the prompt of a chat, which has a line {@code role: content} for each message. */
    public static String chatPrompt(JsonNode messages) {
        var prompt = new StringBuilder();
        for (JsonNode message : messages) {
            prompt.append(message.path("role").asText())
                    .append(": ")
                    .append(message.path("content").asText())
                    .append('\n');
        }
        return prompt.toString();
    }

    /** Returns the number of tokens of a text. Each word is a token. */
    public static int countTokens(String text) {
        String trimmed = text.strip();
        return trimmed.isEmpty() ? 0 : trimmed.split("\\s+").length;
    }

    static String token(long promptHash, int i) {
        long z = promptHash + (i + 1) * 0x9e3779b97f4a7c15L;
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return String.format("%06x ", (z ^ (z >>> 31)) >>> 40);
    }

    static long hash(String text) {
        long hash = FNV_OFFSET;
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (b & 0xff)) * FNV_PRIME;
        }
        return hash;
    }
}
