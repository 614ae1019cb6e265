package org.carobdoor.node.model;

/** Is told what the interruption of a stream cost. */
@FunctionalInterface
public interface ResumeListener {

    /**
     * Called when a stream of {@code entry} continues at another endpoint.
     *
     * @param recomputedTokens tokens of the answer that the new endpoint has to compute again
     */
    void onResume(String entry, int recomputedTokens);
}
