package org.carobdoor.internal.peers;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.message.NodeStatus;
import org.jspecify.annotations.Nullable;

/**
 * Decides which runs of other nodes exist. A run is listed in the store under a lease, and heard
 * directly several times a second.
 *
 * <p>A run that the store lists no more still exists while it is heard, since its lease ends when
 * the store is away. A run that is silent exists while it is listed, unless the node has been
 * started again since.
 *
 * <p>Belongs to one thread.
 */
public final class PeerRuns {
    /** A run that has not been heard for longer counts as silent; about ten statuses. */
    private static final long HEARD_NANOS = 3_000_000_000L;

    private final Map<String, Run> runs = new TreeMap<>();
    private final String ownRun;

    private PeerRuns(String ownRun) {
        this.ownRun = ownRun;
    }

    /** Returns an empty list of the nodes beside the one that runs as {@code ownRun}. */
    public static PeerRuns create(String ownRun) {
        return new PeerRuns(ownRun);
    }

    /**
     * Notes that the store lists a run.
     *
     * @param revision the store's revision of the entry; a later run of a node has a higher one
     * @return whether the run was not listed before
     */
    public boolean listed(String run, long revision) {
        if (run.equals(ownRun)) {
            return false;
        }
        Run r = runs.computeIfAbsent(run, k -> new Run());
        boolean added = !r.listed;
        r.listed = true;
        r.revision = Math.max(r.revision, revision);
        return added;
    }

    /** Notes that the store does not list a run. */
    public void unlisted(String run) {
        Run r = runs.get(run);
        if (r != null) {
            r.listed = false;
        }
    }

    /** Notes that the store lists exactly these runs. */
    public void listedExactly(Set<String> listed) {
        runs.forEach((run, r) -> r.listed &= listed.contains(run));
    }

    /** Notes that a run has been heard. */
    public void heard(String run, @Nullable AvailabilityZone zone, long nowNanos) {
        Run r = runs.computeIfAbsent(run, k -> new Run());
        r.heard = true;
        r.heardAtNanos = nowNanos;
        if (zone != null) {
            r.zone = zone;
        }
    }

    /** Removes the runs that have ended, and returns them. */
    public List<String> removeEnded(long nowNanos) {
        List<String> ended = new ArrayList<>();
        runs.forEach(
                (run, r) -> {
                    if (!r.isHeard(nowNanos) && (!r.listed || isReplaced(run, r, nowNanos))) {
                        ended.add(run);
                    }
                });
        ended.forEach(runs::remove);
        return ended;
    }

    /** Returns whether every run that exists is heard. */
    public boolean allHeard(long nowNanos) {
        return runs.values().stream().allMatch(r -> r.isHeard(nowNanos));
    }

    /** Returns the names of the nodes whose runs exist, this node included. */
    public Set<String> nodeNames() {
        Set<String> names = new HashSet<>();
        runs.keySet().forEach(run -> names.add(NodeStatus.nodeOf(run)));
        names.add(NodeStatus.nodeOf(ownRun));
        return names;
    }

    /**
     * Returns the zones none of whose nodes has been heard for {@code silenceNanos}. A zone whose
     * nodes were never heard is not known.
     */
    public Set<AvailabilityZone> silentZones(long silenceNanos, long nowNanos) {
        Set<AvailabilityZone> silent = zones(r -> nowNanos - r.heardAtNanos >= silenceNanos);
        silent.removeAll(zones(r -> nowNanos - r.heardAtNanos < silenceNanos));
        return silent;
    }

    private Set<AvailabilityZone> zones(Predicate<Run> condition) {
        Set<AvailabilityZone> zones = new HashSet<>();
        for (Run r : runs.values()) {
            if (r.zone != null && condition.test(r)) {
                zones.add(r.zone);
            }
        }
        return zones;
    }

    /**
     * Returns whether a later run of the same node is heard, or is this one. Which run is later is
     * told by the revisions: a run that has just been listed is not heard yet, while the one before
     * it was heard a moment ago, and the start times come from clocks that can be set back.
     */
    private boolean isReplaced(String run, Run r, long nowNanos) {
        String node = NodeStatus.nodeOf(run);
        if (node.equals(NodeStatus.nodeOf(ownRun))) {
            return true;
        }
        for (Map.Entry<String, Run> other : runs.entrySet()) {
            if (other.getValue().revision > r.revision
                    && other.getValue().isHeard(nowNanos)
                    && NodeStatus.nodeOf(other.getKey()).equals(node)) {
                return true;
            }
        }
        return false;
    }

    private static final class Run {
        private @Nullable AvailabilityZone zone;
        private boolean listed;
        private boolean heard;
        private long heardAtNanos;
        private long revision;

        boolean isHeard(long nowNanos) {
            return heard && nowNanos - heardAtNanos < HEARD_NANOS;
        }
    }
}
