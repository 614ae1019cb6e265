package org.carobdoor.node.http;

import org.carobdoor.node.admission.RequestAccounting;
import org.carobdoor.node.execution.UsageTracker;
import org.carobdoor.node.work.AnswerPart;
import org.carobdoor.node.work.StreamSink;

/** Forwards the parts of an answer to the caller and records token usage. */
final class ResponseSink implements StreamSink {
    private final ResponseWriter writer;
    private final RequestAccounting accounting;
    private final UsageTracker usage;
    private String id = "";
    private boolean callerDisconnected;

    ResponseSink(ResponseWriter writer, RequestAccounting accounting, UsageTracker usage) {
        this.writer = writer;
        this.accounting = accounting;
        this.usage = usage;
    }

    @Override
    public void accepted(String requestId) {
        id = requestId;
        usage.start(requestId);
        writer.onAccepted(requestId);
    }

    @Override
    public boolean part(AnswerPart part) {
        if (part.tokens() == 0) {
            return true;
        }
        accounting.onTokens(part.tokens());
        callerDisconnected = !writer.write(part.tokens(), part.text());
        return !callerDisconnected;
    }

    /** Transfers the recorded usage of the request to its accounting. */
    void recordUsage() {
        UsageTracker.Usage used = usage.remove(id);
        accounting.onUsage(used.cost(), used.recomputedTokens());
    }

    /** Returns the id of the accepted request, or an empty string if it was not accepted. */
    String id() {
        return id;
    }

    /** Returns whether the caller has disconnected or stopped reading. */
    boolean isCallerDisconnected() {
        return callerDisconnected;
    }
}
