package org.carobdoor.clients.http;

/** Records whether a byte of a request may have been sent. */
public final class SendTracker {
    private volatile boolean sent;

    void markSent() {
        sent = true;
    }

    /** Returns false if no byte of the request was sent. */
    public boolean mayHaveBeenSent() {
        return sent;
    }
}
