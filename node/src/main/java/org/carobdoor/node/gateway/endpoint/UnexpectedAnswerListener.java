package org.carobdoor.node.gateway.endpoint;

/** Receives the answers of one endpoint that are not passed on. Called on the event loop. */
interface UnexpectedAnswerListener {
    /** An answer arrived that the request on its connection does not get. */
    void onUnexpectedAnswer(UnexpectedAnswer answer);
}
