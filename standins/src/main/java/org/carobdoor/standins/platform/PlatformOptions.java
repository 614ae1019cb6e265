package org.carobdoor.standins.platform;

import com.beust.jcommander.Parameter;

/**
 * The settings of a platform stand-in, also its command-line options.
 *
 * <pre>{@code
 * var options = PlatformOptions.defaults();
 * try (var platform = PlatformStandIn.start(options)) { ... }
 * }</pre>
 */
public final class PlatformOptions {
    @Parameter(names = "--port", description = "Port on 127.0.0.1, 0 for any free one")
    private int port;

    @Parameter(
            names = "--writes-per-second",
            description = "Writes that the key-value service allows")
    private double writesPerSecond = 500;

    @Parameter(
            names = "--reads-per-second",
            description = "Reads that the key-value service allows, waiting watches included")
    private double readsPerSecond = 2000;

    @Parameter(names = "--weights-per-second", description = "Reads that the weight store allows")
    private double weightsPerSecond = 10;

    @Parameter(names = "--list-lag-millis", description = "By how much the list of VMs is behind")
    private long listLagMillis = 2000;

    @Parameter(
            names = "--start-millis",
            description = "How long an ordered VM takes to start, with --start-engines")
    private long startMillis = 1000;

    @Parameter(
            names = "--start-engines",
            description = "Start an engine in this process for each VM that is ordered")
    private boolean startEngines;

    @Parameter(names = "--help", help = true, description = "Print this help")
    private boolean help;

    private PlatformOptions() {}

    /** Returns the defaults: any free port and the limits that the real platform states. */
    public static PlatformOptions defaults() {
        return new PlatformOptions();
    }

    /** Sets the port; returns this object. */
    public PlatformOptions port(int value) {
        port = value;
        return this;
    }

    /** Sets the allowed writes and reads a second; returns this object. */
    public PlatformOptions rates(double writes, double reads) {
        writesPerSecond = writes;
        readsPerSecond = reads;
        return this;
    }

    /** Sets the allowed reads a second of the weight store; returns this object. */
    public PlatformOptions weightRate(double reads) {
        weightsPerSecond = reads;
        return this;
    }

    /** Sets the lag of the list of VMs; returns this object. */
    public PlatformOptions listLagMillis(long value) {
        listLagMillis = value;
        return this;
    }

    /** Sets how long an ordered VM takes to start; returns this object. */
    public PlatformOptions startMillis(long value) {
        startMillis = value;
        return this;
    }

    /** Returns the port on 127.0.0.1, 0 for any free one. */
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

    /** Returns whether ordered VMs are to be started as engines. */
    public boolean startEngines() {
        return startEngines;
    }

    /** Returns whether help was asked for. */
    public boolean help() {
        return help;
    }
}
