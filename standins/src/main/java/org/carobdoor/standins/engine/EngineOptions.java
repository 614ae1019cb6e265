package org.carobdoor.standins.engine;

import com.beust.jcommander.Parameter;
import java.util.List;

/**
 * The settings of an engine stand-in, also its command-line options.
 *
 * <pre>{@code
 * var options = EngineOptions.defaults().id("e1").tokenMillis(1).models("draft");
 * try (var engine = EngineStandIn.start(options)) { ... }
 * }</pre>
 */
public final class EngineOptions {
    @Parameter(names = "--port", description = "Port on 127.0.0.1, 0 for any free one")
    private int port;

    @Parameter(names = "--id", description = "Identifier in load reports and answers")
    private String id = "engine";

    @Parameter(names = "--models", description = "Models that are loaded at the start")
    private List<String> models = List.of("model");

    @Parameter(names = "--token-millis", description = "Time of one token")
    private double tokenMillis = 5;

    @Parameter(names = "--max-concurrent", description = "Requests that are batched at once")
    private int maxConcurrent = 32;

    @Parameter(
            names = "--prefill-micros",
            description = "Time of one prompt token that is not cached")
    private long prefillMicros = 20;

    @Parameter(names = "--cache-blocks", description = "Size of the prefix cache, in blocks of 16")
    private int cacheBlocks = 4096;

    @Parameter(names = "--load-lag-millis", description = "By how much load reports are behind")
    private long loadLagMillis = 500;

    @Parameter(names = "--event-lag-millis", description = "How late cache events are published")
    private long eventLagMillis = 500;

    @Parameter(names = "--event-gap-every", description = "Every n-th cache event is lost, 0: none")
    private int eventGapEvery = 50;

    @Parameter(names = "--ignore-fencing", description = "Carry out orders with an old number")
    private boolean ignoreFencing;

    @Parameter(names = "--help", help = true, description = "Print this help")
    private boolean help;

    private EngineOptions() {}

    /** Returns the defaults: any free port, 5 ms a token, 32 requests at once. */
    public static EngineOptions defaults() {
        return new EngineOptions();
    }

    /** Sets the port; returns this object. */
    public EngineOptions port(int value) {
        port = value;
        return this;
    }

    /** Sets the identifier; returns this object. */
    public EngineOptions id(String value) {
        id = value;
        return this;
    }

    /** Sets the models that are loaded at the start; returns this object. */
    public EngineOptions models(String... values) {
        models = List.of(values);
        return this;
    }

    /** Sets the time of one token; returns this object. */
    public EngineOptions tokenMillis(double value) {
        tokenMillis = value;
        return this;
    }

    /** Sets how many requests are batched at once; returns this object. */
    public EngineOptions maxConcurrent(int value) {
        maxConcurrent = value;
        return this;
    }

    /** Sets the size of the prefix cache in blocks of 16 words; returns this object. */
    public EngineOptions cacheBlocks(int value) {
        cacheBlocks = value;
        return this;
    }

    /** Sets by how much load reports and cache events are behind; returns this object. */
    public EngineOptions lagMillis(long load, long events) {
        loadLagMillis = load;
        eventLagMillis = events;
        return this;
    }

    /** Sets which cache events are lost: each n-th, 0 for none; returns this object. */
    public EngineOptions eventGapEvery(int value) {
        eventGapEvery = value;
        return this;
    }

    int port() {
        return port;
    }

    String id() {
        return id;
    }

    List<String> models() {
        return models;
    }

    int maxConcurrent() {
        return maxConcurrent;
    }

    long prefillMicros() {
        return prefillMicros;
    }

    int cacheBlocks() {
        return cacheBlocks;
    }

    long loadLagMillis() {
        return loadLagMillis;
    }

    long eventLagMillis() {
        return eventLagMillis;
    }

    int eventGapEvery() {
        return eventGapEvery;
    }

    EngineFaults faults() {
        return new EngineFaults(0, false, false, false, ignoreFencing, tokenMillis);
    }

    /** Returns whether help was asked for. */
    public boolean help() {
        return help;
    }
}
