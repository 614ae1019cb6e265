package org.carobdoor.node.service;

/** Decides immediately before each send whether a call may still be sent. */
public interface SendPermit {
    /** Permits every send; used for repeatable calls. */
    SendPermit ALWAYS =
            new SendPermit() {
                @Override
                public boolean beginSend() {
                    return true;
                }

                @Override
                public void notSent() {}
            };

    /** Returns whether the call may be sent now; false ends the call as not run. */
    boolean beginSend();

    /** Reverts the last {@link #beginSend} after a send that failed before the first byte. */
    void notSent();
}
