package org.carobdoor.bench.faults;

import java.util.List;
import java.util.SplittableRandom;
import org.carobdoor.bench.cluster.LocalCluster;

/** Draws faults from a seed. */
final class FaultPlan {
    private static final long NOTICE_MILLIS = 6_000;

    private final LocalCluster cluster;
    private final SplittableRandom random;

    FaultPlan(LocalCluster cluster, long seed) {
        this.cluster = cluster;
        this.random = new SplittableRandom(seed);
    }

    /** Returns the next fault. */
    Fault next() {
        long millis = random.nextLong(3_000, 12_000);
        return switch (random.nextInt(15)) {
            case 0 -> new Fault.KillNode(pick(cluster.nodeNames()), millis);
            case 1 -> new Fault.PauseNode(pick(cluster.nodeNames()), millis);
            case 2 -> new Fault.StopNode(pick(cluster.nodeNames()), millis);
            case 3 -> new Fault.KillZone(LocalCluster.zoneOf(pick(cluster.nodeNames())), millis);
            case 4 -> new Fault.PlatformDown(millis);
            case 5 -> new Fault.PlatformSlow(millis, random.nextLong(50, 600));
            case 6, 7 -> new Fault.LoseAnswers(millis, random.nextInt(1, 20));
            case 8 -> new Fault.ReclaimEngine(pick(cluster.engineNames()), NOTICE_MILLIS);
            case 9 -> new Fault.KillEngine(pick(cluster.engineNames()), millis);
            case 11, 12 -> new Fault.ReclaimNode(pick(cluster.nodeNames()), NOTICE_MILLIS);
            case 13 ->
                    new Fault.ReclaimZone(
                            LocalCluster.zoneOf(pick(cluster.nodeNames())), NOTICE_MILLIS);
            case 10 -> new Fault.SilentEngine(pick(cluster.engineNames()), millis);
            default ->
                    new Fault.LoseServiceAnswers(
                            pick(cluster.serviceNames()), millis, random.nextInt(1, 4));
        };
    }

    /** Returns the time until the next fault begins, in milliseconds. */
    long nextPauseMillis() {
        return random.nextLong(1_000, 5_000);
    }

    private String pick(List<String> names) {
        return names.get(random.nextInt(names.size()));
    }
}
