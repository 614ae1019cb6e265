package org.carobdoor.clients.http;

/** Records whether a byte of a request can have left this process. */
public final class SendTrace {
    private volatile boolean sent;

    void markSent() {
        sent = true;
    }

    /** Returns false if the request was certainly not sent, not even in part. */
    public boolean mayHaveBeenSent() {
        return sent;
    }
}
