package org.carobdoor.internal.work;

import java.util.ArrayList;
import java.util.List;
import org.carobdoor.NodeId;

/** Records when nodes were partitioned from others or paused. */
final class FaultIntervals {
    private static final long STEP_MILLIS = 10;

    private final List<Interval> intervals = new ArrayList<>();

    private record Interval(NodeId node, long from, long to) {}

    void add(NodeId node, long from, long to) {
        intervals.add(new Interval(node, from, to));
    }

    /** Returns for how many milliseconds {@code node} was affected in the given period. */
    long faultMillis(NodeId node, long from, long to) {
        long sum = 0;
        for (long at = from; at < to; at += STEP_MILLIS) {
            long t = at;
            boolean affected =
                    intervals.stream()
                            .anyMatch(s -> s.node.equals(node) && s.from <= t && t < s.to);
            sum += affected ? STEP_MILLIS : 0;
        }
        return sum;
    }
}
