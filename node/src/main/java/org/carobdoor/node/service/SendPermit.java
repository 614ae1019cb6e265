package org.carobdoor.node.service;

/** Decides immediately before each send whether a call may still be sent. */
public interface SendPermit {
    /** Permits every send: for calls that may be repeated. */
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

    /** Takes the last {@link #beginSend} back: no byte was sent. */
    void notSent();
}
