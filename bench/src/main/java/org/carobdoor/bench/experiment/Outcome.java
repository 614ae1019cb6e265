package org.carobdoor.bench.experiment;

import java.util.Arrays;
import java.util.stream.DoubleStream;

/** What was measured in one run. */
final class Outcome {
    private final DoubleStream.Builder firstToken = DoubleStream.builder();
    private final DoubleStream.Builder classOneFirstToken = DoubleStream.builder();
    private final DoubleStream.Builder gap = DoubleStream.builder();
    private double[] p95 = {};
    long finished;
    long failed;
    long recomputed;
    long generated;
    long promptComputed;
    long promptTotal;
    long interrupted;
    long exported;
    final long[] shed = new long[5];
    final long[] offered = new long[5];

    /** Decisions that shed class 1 although the same node would admit a lower class then. */
    long wronglyShed;

    /** Class 1 shed less than 1 s after the same node admitted a lower class. */
    long shedNearLower;

    double cost;
    long orders;
    long sendsAfterBound;

    void addFirstToken(int priority, double millis) {
        firstToken.add(millis);
        if (priority == 1) {
            classOneFirstToken.add(millis);
        }
    }

    void addGap(double millis) {
        gap.add(millis);
    }

    /** Works out the percentiles, after the last value has been added. */
    void close() {
        p95 =
                new double[] {
                    percentile(firstToken.build()),
                    percentile(classOneFirstToken.build()),
                    percentile(gap.build())
                };
    }

    /**
     * Returns a 95th percentile: 0 for the first token, 1 for that of class 1, 2 for the mean gap
     * of answers.
     */
    double p95(int which) {
        return p95[which];
    }

    private static double percentile(DoubleStream values) {
        double[] sorted = values.sorted().toArray();
        return sorted.length == 0 ? 0 : sorted[(int) Math.ceil(0.95 * sorted.length) - 1];
    }

    /** Returns median, least and largest of {@code values}. */
    static String summary(double[] values, String format) {
        double[] s = values.clone();
        Arrays.sort(s);
        double median =
                s.length % 2 == 1 ? s[s.length / 2] : (s[s.length / 2 - 1] + s[s.length / 2]) / 2;
        return String.format(
                format + " (" + format + " to " + format + ")", median, s[0], s[s.length - 1]);
    }
}
