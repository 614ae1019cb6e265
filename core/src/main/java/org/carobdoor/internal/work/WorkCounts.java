package org.carobdoor.internal.work;

/**
 * What a node holds.
 *
 * @param streams owned requests whose caller holds a stream open
 * @param submitted owned requests whose caller reads the answer later, or read it at a node that is
 *     gone
 * @param held copies kept for other owners
 * @param uncopied owned requests without a copy
 * @param sameZone owned requests whose copy is in the zone of this node
 */
public record WorkCounts(int streams, int submitted, int held, int uncopied, int sameZone) {

    /** Returns the sum of both. */
    WorkCounts plus(WorkCounts other) {
        return new WorkCounts(
                streams + other.streams,
                submitted + other.submitted,
                held + other.held,
                uncopied + other.uncopied,
                sameZone + other.sameZone);
    }

    /** Returns whether this node owns nothing any more. */
    public boolean ownsNothing() {
        return streams == 0 && submitted == 0;
    }

    /** Returns whether a node that leaves may exit: nothing depends on it any more. */
    public boolean isDrained() {
        return ownsNothing() && held == 0;
    }
}
