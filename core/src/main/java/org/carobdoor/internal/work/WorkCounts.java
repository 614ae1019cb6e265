package org.carobdoor.internal.work;

/**
 * Numbers of requests by the role of this node.
 *
 * @param streams owned requests whose caller holds a stream open
 * @param submitted owned requests whose caller reads the answer later, or whose caller was
 *     connected to a previous owner
 * @param held copies stored for other owners
 * @param withoutCopy owned requests without a copy
 * @param copiesInSameZone owned requests whose copy holder is in the zone of this node
 */
public record WorkCounts(
        int streams, int submitted, int held, int withoutCopy, int copiesInSameZone) {

    /** Adds two counts component by component. */
    WorkCounts plus(WorkCounts other) {
        return new WorkCounts(
                streams + other.streams,
                submitted + other.submitted,
                held + other.held,
                withoutCopy + other.withoutCopy,
                copiesInSameZone + other.copiesInSameZone);
    }

    /** Returns whether this node owns no request. */
    public boolean ownsNothing() {
        return streams == 0 && submitted == 0;
    }

    /** Returns whether a leaving node may exit: it owns no request and stores no copy. */
    public boolean isDrained() {
        return ownsNothing() && held == 0;
    }
}
