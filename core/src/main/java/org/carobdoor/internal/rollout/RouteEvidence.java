package org.carobdoor.internal.rollout;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** Compares the answers of both versions on one route, or on all routes together. */
final class RouteEvidence {
    /** The weight that earlier answers of the old version keep at each judgement with new ones. */
    private static final double OLD_RETENTION = 0.97;

    /** Without this many recent answers of the old version, times cannot be compared. */
    private static final double MIN_OLD_ANSWERS = 40;

    /**
     * A time counts as slow if it is longer by this number of buckets, a factor of 1.7, than the
     * old version's. Endpoints that have just started are slower to begin, as they read all parts
     * of prompts.
     */
    private static final int SLOWER_BUCKETS = 3;

    /** The fractions of the old version's answers whose shortest time is compared with. */
    private static final double[] TAILS = {0.5, 0.25, 0.1, 0.04, 0.01};

    private static final double OLD_FRACTION_FACTOR = 1.3;
    private static final double MIN_FAILURE_FRACTION = 0.01;
    private static final double MIN_SLOW_FRACTION = 0.03;

    /** Finds versions that fail often, within a few failures. */
    private final SequentialTest manyFailures = new SequentialTest(0.14, 8);

    /** Finds versions that fail rarely, within the first fifty failures. */
    private final SequentialTest someFailures = new SequentialTest(0.04, 11);

    private final SequentialTest[] slow = new SequentialTest[TAILS.length];
    private final double[] oldLatencies = new double[LatencyBuckets.COUNT];
    private final long[] newLatencies = new long[LatencyBuckets.COUNT];
    private final long[] addedOldLatencies = new long[LatencyBuckets.COUNT];
    private double oldAnswers;
    private double oldFailures;
    private long addedOldAnswers;
    private long addedOldFailures;
    private long pendingAnswers;
    private long pendingFailures;
    private long newAnswers;
    private long totalOldAnswers;

    RouteEvidence() {
        for (int i = 0; i < slow.length; i++) {
            slow[i] = new SequentialTest(0.15, 8);
        }
    }

    void addOld(long answers, long failures, List<Long> latencies) {
        addedOldAnswers += answers;
        addedOldFailures += failures;
        totalOldAnswers += answers;
        addTo(addedOldLatencies, latencies);
    }

    void addNew(long answers, long failures, List<Long> latencies) {
        pendingAnswers += answers;
        pendingFailures += failures;
        newAnswers += answers;
        addTo(newLatencies, latencies);
    }

    private static void addTo(long[] counts, List<Long> added) {
        for (int i = 0; i < Math.min(counts.length, added.size()); i++) {
            counts[i] += added.get(i);
        }
    }

    /**
     * Takes the added answers into account; returns why the new version is bad, if it is.
     *
     * @param all the evidence of all routes, to which the comparison of times is added
     */
    Optional<String> judge(String name, RouteEvidence all) {
        takeOld();
        if (pendingAnswers > 0 || pendingFailures > 0) {
            double old = oldAnswers > 0 ? oldFailures / oldAnswers : 0;
            double p = old * OLD_FRACTION_FACTOR + MIN_FAILURE_FRACTION;
            long good = Math.max(0, pendingAnswers - pendingFailures);
            manyFailures.add(pendingFailures, good, p);
            someFailures.add(pendingFailures, good, p);
            pendingAnswers = 0;
            pendingFailures = 0;
        }
        double sampled = sum(oldLatencies);
        if (sampled >= MIN_OLD_ANSWERS) {
            compareTimes(sampled, all);
        }
        if (manyFailures.isBad() || someFailures.isBad()) {
            return Optional.of("failures on " + name);
        }
        for (SequentialTest t : slow) {
            if (t.isBad()) {
                return Optional.of("slow on " + name);
            }
        }
        return Optional.empty();
    }

    private void takeOld() {
        if (addedOldAnswers == 0 && addedOldFailures == 0) {
            return;
        }
        oldAnswers = oldAnswers * OLD_RETENTION + addedOldAnswers;
        oldFailures = oldFailures * OLD_RETENTION + addedOldFailures;
        addedOldAnswers = 0;
        addedOldFailures = 0;
        for (int i = 0; i < oldLatencies.length; i++) {
            oldLatencies[i] = oldLatencies[i] * OLD_RETENTION + addedOldLatencies[i];
            addedOldLatencies[i] = 0;
        }
    }

    /** Compares the times at the same tails of both distributions, here and on all routes. */
    private void compareTimes(double sampled, RouteEvidence all) {
        long answers = 0;
        for (long n : newLatencies) {
            answers += n;
        }
        if (answers == 0) {
            return;
        }
        double oldAbove = sampled;
        long newAbove = answers;
        for (int i = 0; i < SLOWER_BUCKETS; i++) {
            newAbove -= newLatencies[i];
        }
        int tail = 0;
        for (int k = 0; k + SLOWER_BUCKETS < LatencyBuckets.COUNT; k++) {
            for (; tail < TAILS.length && oldAbove <= TAILS[tail] * sampled; tail++) {
                double p = oldAbove / sampled * OLD_FRACTION_FACTOR + MIN_SLOW_FRACTION;
                slow[tail].add(newAbove, answers - newAbove, p);
                all.slow[tail].add(newAbove, answers - newAbove, p);
            }
            oldAbove = Math.max(0, oldAbove - oldLatencies[k]);
            newAbove -= newLatencies[k + SLOWER_BUCKETS];
        }
        Arrays.fill(newLatencies, 0);
    }

    /** Returns whether there are {@code min} answers and no sign that the new version is bad. */
    boolean isGood(long min) {
        if (newAnswers < min || manyFailures.isDoubtful() || someFailures.isDoubtful()) {
            return false;
        }
        for (SequentialTest t : slow) {
            if (t.isDoubtful()) {
                return false;
            }
        }
        return true;
    }

    long totalOldAnswers() {
        return totalOldAnswers;
    }

    private static double sum(double[] values) {
        double sum = 0;
        for (double v : values) {
            sum += v;
        }
        return sum;
    }
}
