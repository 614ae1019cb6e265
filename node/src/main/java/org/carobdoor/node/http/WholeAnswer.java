package org.carobdoor.node.http;

import org.carobdoor.node.model.AnswerFormat;
import org.carobdoor.node.model.ModelRequest;

/** Collects an answer that is sent at once. */
final class WholeAnswer implements AnswerWriter {
    private final AnswerFormat.Header header;
    private final ModelRequest request;
    private final StringBuilder text = new StringBuilder();
    private String id = "";
    private int tokens;

    WholeAnswer(AnswerFormat.Header header, ModelRequest request) {
        this.header = header;
        this.request = request;
    }

    @Override
    public void accepted(String requestId) {
        id = requestId;
    }

    @Override
    public boolean write(int count, String part) {
        tokens += count;
        text.append(part);
        return true;
    }

    @Override
    public String finish() {
        String reason = tokens >= request.maxTokens() ? "length" : "stop";
        return new AnswerFormat(header, id)
                .whole(text.toString(), reason, request.promptTokens(), tokens);
    }

    @Override
    public boolean fail(Problem problem) {
        return false;
    }

    @Override
    public void close() {}
}
