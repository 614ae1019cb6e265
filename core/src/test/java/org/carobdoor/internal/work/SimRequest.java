package org.carobdoor.internal.work;

import static org.carobdoor.internal.Preconditions.checkInvariant;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.carobdoor.NodeId;

/** A request of the simulation and all text of its answer that was ever readable. */
final class SimRequest {
    final String id;
    final int length;
    final boolean submitted;
    private final List<NodeFailure> failures = new ArrayList<>();
    String releasedText = "";
    String readText = "";
    int readOffset;
    boolean complete;
    boolean accepted;
    boolean refused;
    boolean refusedNotRun;

    SimRequest(String id, int length, boolean submitted) {
        this.id = id;
        this.length = length;
        this.submitted = submitted;
    }

    /** The failure of a node that had a role; {@code potentialOwners} could still continue. */
    private record NodeFailure(NodeId node, Set<NodeId> potentialOwners, long at) {}

    /** Returns token {@code index}; the label identifies the attempt. */
    String token(int index, int label) {
        return "<" + id.substring(0, 6) + " " + index + " " + label + ">";
    }

    /** Checks that newly readable text extends the text that was readable before. */
    void recordReleased(AnswerSlice slice, String where) {
        String text = slice.text();
        boolean agrees = text.startsWith(releasedText) || releasedText.startsWith(text);
        checkInvariant(agrees, where + " changed released text\n" + releasedText + "\n" + text);
        if (text.length() > releasedText.length()) {
            releasedText = text;
        }
        if (slice.complete()) {
            checkInvariant(text.equals(releasedText), where + " ended the answer early");
            complete = true;
        }
    }

    /** Adds a slice that the caller has read at its offset. */
    void recordRead(AnswerSlice slice) {
        checkInvariant(slice.offset() == readOffset, "the offset is not the start of a chunk");
        readText += slice.text();
        readOffset = slice.end();
        checkInvariant(
                releasedText.startsWith(readText),
                "the caller has read text that was not released");
    }

    /** Checks that the answer has all tokens of this request and no others. */
    void checkComplete() {
        int from = 0;
        for (int i = 0; i < length; i++) {
            String prefix = "<" + id.substring(0, 6) + " " + i + " ";
            checkInvariant(
                    releasedText.startsWith(prefix, from), "no token " + i + ": " + releasedText);
            from = releasedText.indexOf('>', from) + 1;
        }
        checkInvariant(from == releasedText.length(), "more than " + length + " tokens");
    }

    void recordFailure(NodeId node, RequestRole role, long at) {
        switch (role) {
            case OwnerRole owner ->
                    failures.add(new NodeFailure(node, owner.potentialOwners(), at));
            case CopyHolderRole holder ->
                    failures.add(new NodeFailure(node, Set.of(holder.owner()), at));
            case RetiredRole retired -> {}
        }
    }

    /** Returns whether a node failed while no other node could continue. */
    boolean lostWithoutCopy() {
        return failures.stream().anyMatch(failure -> failure.potentialOwners().isEmpty());
    }

    /**
     * Returns whether an owner and its copy holder failed within {@code window} milliseconds, not
     * counting the time during which the one that failed last was partitioned or paused.
     */
    boolean lostOwnerAndCopyHolder(long window, FaultIntervals faultIntervals) {
        for (NodeFailure first : failures) {
            for (NodeFailure second : failures) {
                boolean related = second.potentialOwners().contains(first.node());
                if (related && first.at() <= second.at()) {
                    long between = second.at() - first.at();
                    long excluded =
                            faultIntervals.faultMillis(second.node(), first.at(), second.at());
                    if (between - excluded <= window) {
                        return true;
                    }
                }
            }
        }
        return false;
    }
}
