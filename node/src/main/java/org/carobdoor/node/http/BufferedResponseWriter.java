package org.carobdoor.node.http;

import org.carobdoor.node.model.CompletionFormat;
import org.carobdoor.node.model.ModelRequest;

/** Buffers an answer that is sent as a single response body. */
final class BufferedResponseWriter implements ResponseWriter {
    private final CompletionFormat.Header header;
    private final ModelRequest request;
    private final StringBuilder text = new StringBuilder();
    private String id = "";
    private int tokens;

    BufferedResponseWriter(CompletionFormat.Header header, ModelRequest request) {
        this.header = header;
        this.request = request;
    }

    @Override
    public void onAccepted(String requestId) {
        id = requestId;
    }

    @Override
    public boolean write(int tokenCount, String chunk) {
        tokens += tokenCount;
        text.append(chunk);
        return true;
    }

    @Override
    public String finish() {
        String finishReason = tokens >= request.maxTokens() ? "length" : "stop";
        return new CompletionFormat(header, id)
                .completion(text.toString(), finishReason, request.estimatedPromptTokens(), tokens);
    }

    @Override
    public boolean writeProblem(Problem problem) {
        return false;
    }

    @Override
    public void close() {}
}
