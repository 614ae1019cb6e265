package org.carobdoor.node.http;

import org.carobdoor.node.admission.RequestScope;
import org.carobdoor.node.execution.UsageBook;
import org.carobdoor.node.work.AnswerPart;
import org.carobdoor.node.work.StreamSink;

/** Passes the parts of an answer on to its caller and accounts for them. */
final class CallerSink implements StreamSink {
    private final AnswerWriter writer;
    private final RequestScope scope;
    private final UsageBook usage;
    private String id = "";
    private boolean callerGone;

    CallerSink(AnswerWriter writer, RequestScope scope, UsageBook usage) {
        this.writer = writer;
        this.scope = scope;
        this.usage = usage;
    }

    @Override
    public void accepted(String requestId) {
        id = requestId;
        usage.open(requestId);
        writer.accepted(requestId);
    }

    @Override
    public boolean part(AnswerPart part) {
        if (part.tokens() == 0) {
            return true;
        }
        scope.onTokens(part.tokens());
        callerGone = !writer.write(part.tokens(), part.text());
        return !callerGone;
    }

    /** Moves what the request has used to its scope. */
    void recordUsage() {
        UsageBook.Usage used = usage.take(id);
        scope.onUsage(used.cost(), used.recomputedTokens());
    }

    /** Returns the id of the accepted request, empty if it was not accepted. */
    String id() {
        return id;
    }

    /** Returns whether the caller stopped reading. */
    boolean isCallerGone() {
        return callerGone;
    }
}
