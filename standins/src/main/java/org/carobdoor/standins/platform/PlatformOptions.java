package org.carobdoor.standins.platform;

import com.beust.jcommander.Parameter;

/**
 * The settings of a {@link PlatformStandIn}, which are also its command-line options.
 *
 * <pre>{@code
 * var options = PlatformOptions.defaults();
 * try (var platform = PlatformStandIn.start(options)) { ... }
 * }</pre>
 */
public final class PlatformOptions {
    @Parameter(names = "--port", description = "Port on 127.0.0.1; 0 selects a free port")
    private int port;

    @Parameter(names = "--writes-per-second", description = "Allowed key-value writes per second")
    private double writesPerSecond = 500;

    @Parameter(
            names = "--reads-per-second",
            description = "Allowed key-value reads per second, including watches")
    private double readsPerSecond = 2000;

    @Parameter(
            names = "--weights-per-second",
            description = "Allowed weight store reads per second")
    private double weightsPerSecond = 10;

    @Parameter(names = "--list-lag-millis", description = "Lag of the list of VMs")
    private long listLagMillis = 2000;

    @Parameter(
            names = "--start-millis",
            description = "Start time of an ordered VM, with --start-engines")
    private long startMillis = 1000;

    @Parameter(
            names = "--start-engines",
            description = "Start an engine in this process for each ordered VM")
    private boolean startEngines;

    @Parameter(names = "--help", help = true, description = "Print this help")
    private boolean help;

    private PlatformOptions() {}

    /** Returns the default settings, with a free port and the rate limits of the real platform. */
    public static PlatformOptions defaults() {
        return new PlatformOptions();
    }

    /** Sets the port; 0 selects a free port. */
    public PlatformOptions port(int value) {
        port = value;
        return this;
    }

    /** Sets the rate limits of key-value writes and reads, per second. */
    public PlatformOptions rates(double writes, double reads) {
        writesPerSecond = writes;
        readsPerSecond = reads;
        return this;
    }

    /** Sets the rate limit of weight store reads, per second. */
    public PlatformOptions weightRate(double reads) {
        weightsPerSecond = reads;
        return this;
    }

    /** Sets the lag of the list of VMs. */
    public PlatformOptions listLagMillis(long value) {
        listLagMillis = value;
        return this;
    }

    /** Sets the start time of an ordered VM. */
    public PlatformOptions startMillis(long value) {
        startMillis = value;
        return this;
    }

    /** Returns the port on 127.0.0.1; 0 selects a free port. */
    public int port() {
        return port;
    }

    double writesPerSecond() {
        return writesPerSecond;
    }

    double readsPerSecond() {
        return readsPerSecond;
    }

    double weightsPerSecond() {
        return weightsPerSecond;
    }

    long listLagMillis() {
        return listLagMillis;
    }

    long startMillis() {
        return startMillis;
    }

    /** Returns whether an engine is started for each ordered VM. */
    public boolean startEngines() {
        return startEngines;
    }

    /** Returns whether the usage text was requested. */
    public boolean help() {
        return help;
    }
}
