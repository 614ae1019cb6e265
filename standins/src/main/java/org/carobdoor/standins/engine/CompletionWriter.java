package org.carobdoor.standins.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jooby.Context;
import io.jooby.MediaType;
import io.jooby.Sender;
import java.nio.charset.StandardCharsets;
import org.carobdoor.standins.http.Json;
import org.carobdoor.standins.http.Reply;
import org.jspecify.annotations.Nullable;

/** Writes an OpenAI-compatible response, as one JSON object or as server-sent events. */
final class CompletionWriter {
    private static final byte[] DONE_EVENT = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    private final Context context;
    private final RequestRecord record;
    private final StringBuilder text = new StringBuilder();
    private @Nullable Sender sender;

    CompletionWriter(Context context, RequestRecord record) {
        this.context = context;
        this.record = record;
    }

    /** Adds a token, and sends it at once if the response is streamed. */
    void addToken(String token) {
        if (record.request().stream()) {
            send(chunk(token, null));
        } else {
            text.append(token);
        }
    }

    /** Ends the response with the token usage. */
    Reply finish() {
        if (!record.request().stream()) {
            ObjectNode json =
                    newObject(record.request().chat() ? "chat.completion" : "text_completion");
            ObjectNode choice = json.putArray("choices").addObject().put("index", 0);
            if (record.request().chat()) {
                choice.putObject("message")
                        .put("role", "assistant")
                        .put("content", text.toString());
            } else {
                choice.put("text", text.toString());
            }
            choice.put("finish_reason", "length");
            json.set("usage", record.usage());
            return Reply.ok(json);
        }
        send(chunk("", "length"));
        ObjectNode usage = newObject(chunkType());
        usage.putArray("choices");
        usage.set("usage", record.usage());
        send(usage);
        openStream().write(DONE_EVENT, (c, error) -> {});
        openStream().close();
        return Reply.sent();
    }

    private ObjectNode chunk(String token, @Nullable String finishReason) {
        ObjectNode json = newObject(chunkType());
        ObjectNode choice = json.putArray("choices").addObject().put("index", 0);
        if (record.request().chat()) {
            choice.putObject("delta").put("content", token);
        } else {
            choice.put("text", token);
        }
        choice.put("finish_reason", finishReason);
        return json;
    }

    private String chunkType() {
        return record.request().chat() ? "chat.completion.chunk" : "text_completion";
    }

    private ObjectNode newObject(String type) {
        return Json.object()
                .put("id", "cmpl-" + record.sequence())
                .put("object", type)
                .put("model", record.request().model());
    }

    private void send(ObjectNode event) {
        byte[] json = Json.bytes(event);
        byte[] eventBytes = new byte[json.length + 8];
        System.arraycopy("data: ".getBytes(StandardCharsets.UTF_8), 0, eventBytes, 0, 6);
        System.arraycopy(json, 0, eventBytes, 6, json.length);
        eventBytes[eventBytes.length - 2] = '\n';
        eventBytes[eventBytes.length - 1] = '\n';
        // Write errors are ignored: the caller checks the connection before each token.
        openStream().write(eventBytes, (c, error) -> {});
    }

    private Sender openStream() {
        Sender openSender = sender;
        if (openSender == null) {
            context.setResponseType(MediaType.valueOf("text/event-stream"));
            openSender = context.responseSender();
            sender = openSender;
        }
        return openSender;
    }
}
