package org.carobdoor.bench.experiment;

import java.util.Arrays;
import java.util.stream.DoubleStream;

/** The measurements of one run. */
final class RunMetrics {
    private final DoubleStream.Builder firstToken = DoubleStream.builder();
    private final DoubleStream.Builder classOneFirstToken = DoubleStream.builder();
    private final DoubleStream.Builder tokenGap = DoubleStream.builder();
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

    /**
     * Class 1 requests shed although the same node would have admitted a lower class at that
     * moment.
     */
    long priorityInversions;

    /** Class 1 requests shed less than 1 s after the same node admitted a lower class. */
    long shedAfterLowerAdmitted;

    double cost;
    long orders;
    long sendsAfterBound;

    void addFirstToken(int priority, double millis) {
        firstToken.add(millis);
        if (priority == 1) {
            classOneFirstToken.add(millis);
        }
    }

    void addTokenGap(double millis) {
        tokenGap.add(millis);
    }

    /** Computes the percentiles. No value may be added afterwards. */
    void computePercentiles() {
        p95 =
                new double[] {
                    percentile(firstToken.build()),
                    percentile(classOneFirstToken.build()),
                    percentile(tokenGap.build())
                };
    }

    /**
     * Returns a 95th percentile in milliseconds: 0 for the time to the first token, 1 for that of
     * class 1, 2 for the mean token gap of a request.
     */
    double p95(int metric) {
        return p95[metric];
    }

    private static double percentile(DoubleStream values) {
        double[] sorted = values.sorted().toArray();
        return sorted.length == 0 ? 0 : sorted[(int) Math.ceil(0.95 * sorted.length) - 1];
    }

    /** Formats the median, minimum and maximum of {@code values}. */
    static String summary(double[] values, String format) {
        double[] s = values.clone();
        Arrays.sort(s);
        double median =
                s.length % 2 == 1 ? s[s.length / 2] : (s[s.length / 2 - 1] + s[s.length / 2]) / 2;
        return String.format(
                format + " (" + format + " to " + format + ")", median, s[0], s[s.length - 1]);
    }
}
