package org.carobdoor.clients.http;

/** Records whether a byte of a request may have been sent, and whether writing it failed. */
public final class SendTracker {
    private volatile boolean sent;
    private volatile boolean writeFailed;

    void markSent() {
        sent = true;
    }

    /** Returns false if no byte of the request was sent. */
    public boolean mayHaveBeenSent() {
        return sent;
    }

    void markWriteFailed() {
        writeFailed = true;
    }

    /** Returns whether the request could not be written completely. */
    boolean hasWriteFailed() {
        return writeFailed;
    }
}
