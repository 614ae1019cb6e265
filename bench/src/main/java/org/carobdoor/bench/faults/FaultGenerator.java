package org.carobdoor.bench.faults;

import java.util.List;
import java.util.SplittableRandom;
import org.carobdoor.bench.cluster.LocalCluster;

/** Generates a random sequence of faults from a seed. */
final class FaultGenerator {
    private static final long NOTICE_MILLIS = 6_000;

    private final LocalCluster cluster;
    private final SplittableRandom random;

    FaultGenerator(LocalCluster cluster, long seed) {
        this.cluster = cluster;
        this.random = new SplittableRandom(seed);
    }

    /** Generates a fault with a duration of 3 to 12 s or a reclaim notice of 6 s. */
    Fault next() {
        long millis = random.nextLong(3_000, 12_000);
        return switch (random.nextInt(15)) {
            case 0 -> new Fault.KillNode(chooseAny(cluster.nodeNames()), millis);
            case 1 -> new Fault.PauseNode(chooseAny(cluster.nodeNames()), millis);
            case 2 -> new Fault.StopNode(chooseAny(cluster.nodeNames()), millis);
            case 3 ->
                    new Fault.KillZone(LocalCluster.zoneOf(chooseAny(cluster.nodeNames())), millis);
            case 4 -> new Fault.PlatformDown(millis);
            case 5 -> new Fault.PlatformSlow(millis, random.nextLong(50, 600));
            case 6, 7 -> new Fault.LoseAnswers(millis, random.nextInt(1, 20));
            case 8 -> new Fault.ReclaimEngine(chooseAny(cluster.engineNames()), NOTICE_MILLIS);
            case 9 -> new Fault.KillEngine(chooseAny(cluster.engineNames()), millis);
            case 11, 12 -> new Fault.ReclaimNode(chooseAny(cluster.nodeNames()), NOTICE_MILLIS);
            case 13 ->
                    new Fault.ReclaimZone(
                            LocalCluster.zoneOf(chooseAny(cluster.nodeNames())), NOTICE_MILLIS);
            case 10 -> new Fault.SilentEngine(chooseAny(cluster.engineNames()), millis);
            default ->
                    new Fault.LoseServiceAnswers(
                            chooseAny(cluster.serviceNames()), millis, random.nextInt(1, 4));
        };
    }

    /** Generates the time until the next fault starts, in milliseconds. */
    long nextDelayMillis() {
        return random.nextLong(1_000, 5_000);
    }

    private String chooseAny(List<String> names) {
        return names.get(random.nextInt(names.size()));
    }
}
