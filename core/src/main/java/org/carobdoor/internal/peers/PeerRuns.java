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
 * Tracks which runs of other nodes exist. A run is one lifetime of a node's process. It is listed
 * in the store under a lease, and sends its status directly several times a second.
 *
 * <p>A run that is no longer listed still exists while its status is received, since leases expire
 * when the store is unavailable. A silent run exists while it is listed, unless the node has been
 * restarted since.
 *
 * <p>Not thread-safe.
 */
public final class PeerRuns {
    /** Time without a status after which a run counts as silent, about ten status intervals. */
    private static final long SILENCE_TIMEOUT_NANOS = 3_000_000_000L;

    private final Map<String, Run> runs = new TreeMap<>();
    private final String ownRun;

    private PeerRuns(String ownRun) {
        this.ownRun = ownRun;
    }

    /** Returns an instance without peers for the node that runs as {@code ownRun}. */
    public static PeerRuns create(String ownRun) {
        return new PeerRuns(ownRun);
    }

    /**
     * Records that the store lists a run.
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

    /** Records that the store no longer lists a run. */
    public void unlisted(String run) {
        Run r = runs.get(run);
        if (r != null) {
            r.listed = false;
        }
    }

    /** Records that the store lists only these runs. */
    public void listedExactly(Set<String> listed) {
        runs.forEach((run, r) -> r.listed &= listed.contains(run));
    }

    /** Records that a status of a run was received. */
    public void heard(String run, @Nullable AvailabilityZone zone, long nowNanos) {
        Run r = runs.computeIfAbsent(run, k -> new Run());
        r.heard = true;
        r.heardAtNanos = nowNanos;
        if (zone != null) {
            r.zone = zone;
        }
    }

    /** Removes and returns the runs that have ended. */
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

    /** Returns the runs that were heard from, but not for {@code silenceNanos}. */
    public Set<String> silentRuns(long silenceNanos, long nowNanos) {
        Set<String> silent = new HashSet<>();
        runs.forEach(
                (run, r) -> {
                    if (r.heard && nowNanos - r.heardAtNanos >= silenceNanos) {
                        silent.add(run);
                    }
                });
        return silent;
    }

    /** Returns whether a recent status was received from every known run. */
    public boolean allHeard(long nowNanos) {
        return runs.values().stream().allMatch(r -> r.isHeard(nowNanos));
    }

    /** Returns the names of the nodes with known runs, including this node. */
    public Set<String> nodeNames() {
        Set<String> names = new HashSet<>();
        runs.keySet().forEach(run -> names.add(NodeStatus.nodeOf(run)));
        names.add(NodeStatus.nodeOf(ownRun));
        return names;
    }

    /**
     * Returns the zones from whose nodes no status was received for {@code silenceNanos}. Zones
     * from which no status was ever received are unknown and not included.
     */
    public Set<AvailabilityZone> silentZones(long silenceNanos, long nowNanos) {
        Set<AvailabilityZone> silent = zones(r -> nowNanos - r.heardAtNanos >= silenceNanos);
        silent.removeAll(zones(r -> nowNanos - r.heardAtNanos < silenceNanos));
        return silent;
    }

    /** Returns the runs of a zone from which a status was received in the last {@code nanos}. */
    public List<String> heardIn(AvailabilityZone zone, long nanos, long nowNanos) {
        List<String> heard = new ArrayList<>();
        runs.forEach(
                (run, r) -> {
                    if (r.heard && zone.equals(r.zone) && nowNanos - r.heardAtNanos < nanos) {
                        heard.add(run);
                    }
                });
        return heard;
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
     * Returns whether a later run of the same node is heard from, or the run is an earlier one of
     * this node. Runs are ordered by store revision: reception times don't work, because a run that
     * has just been listed has not sent a status yet, while its predecessor was heard moments ago;
     * start times don't work, because they come from clocks that can be set back.
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
            return heard && nowNanos - heardAtNanos < SILENCE_TIMEOUT_NANOS;
        }
    }
}
