package org.carobdoor.standins.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jooby.Context;
import io.jooby.MediaType;
import io.jooby.Sender;
import java.nio.charset.StandardCharsets;
import org.carobdoor.standins.http.Json;
import org.carobdoor.standins.http.Reply;
import org.jspecify.annotations.Nullable;

/** Writes an answer in the OpenAI-compatible form, whole or as server-sent events. */
final class Answer {
    private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    private final Context context;
    private final EngineCall call;
    private final StringBuilder text = new StringBuilder();
    private @Nullable Sender sender;

    Answer(Context context, EngineCall call) {
        this.context = context;
        this.call = call;
    }

    /** Adds one token; sends it at once if the answer is streamed. */
    void add(String token) {
        if (call.request().stream()) {
            send(choice(token, null));
        } else {
            text.append(token);
        }
    }

    /** Ends the answer with the usage. */
    Reply finish() {
        if (!call.request().stream()) {
            ObjectNode json = head(call.request().chat() ? "chat.completion" : "text_completion");
            ObjectNode choice = json.putArray("choices").addObject().put("index", 0);
            if (call.request().chat()) {
                choice.putObject("message")
                        .put("role", "assistant")
                        .put("content", text.toString());
            } else {
                choice.put("text", text.toString());
            }
            choice.put("finish_reason", "length");
            json.set("usage", call.usage());
            return Reply.ok(json);
        }
        send(choice("", "length"));
        ObjectNode usage = head(chunkType());
        usage.putArray("choices");
        usage.set("usage", call.usage());
        send(usage);
        stream().write(DONE, (c, error) -> {});
        stream().close();
        return Reply.sent();
    }

    private ObjectNode choice(String token, @Nullable String finishReason) {
        ObjectNode json = head(chunkType());
        ObjectNode choice = json.putArray("choices").addObject().put("index", 0);
        if (call.request().chat()) {
            choice.putObject("delta").put("content", token);
        } else {
            choice.put("text", token);
        }
        choice.put("finish_reason", finishReason);
        return json;
    }

    private String chunkType() {
        return call.request().chat() ? "chat.completion.chunk" : "text_completion";
    }

    private ObjectNode head(String type) {
        return Json.object()
                .put("id", "cmpl-" + call.sequence())
                .put("object", type)
                .put("model", call.request().model());
    }

    private void send(ObjectNode event) {
        byte[] json = Json.bytes(event);
        byte[] line = new byte[json.length + 8];
        System.arraycopy("data: ".getBytes(StandardCharsets.UTF_8), 0, line, 0, 6);
        System.arraycopy(json, 0, line, 6, json.length);
        line[line.length - 2] = '\n';
        line[line.length - 1] = '\n';
        // A write to a connection that has gone is noticed before the next token.
        stream().write(line, (c, error) -> {});
    }

    private Sender stream() {
        Sender open = sender;
        if (open == null) {
            context.setResponseType(MediaType.valueOf("text/event-stream"));
            open = context.responseSender();
            sender = open;
        }
        return open;
    }
}
