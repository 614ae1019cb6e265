package org.carobdoor.standins.engine;

import com.beust.jcommander.Parameter;
import java.util.List;

/**
 * The settings of an {@link EngineStandIn}, which are also its command-line options.
 *
 * <pre>{@code
 * var options = EngineOptions.defaults().id("e1").tokenMillis(1).models("draft");
 * try (var engine = EngineStandIn.start(options)) { ... }
 * }</pre>
 */
public final class EngineOptions {
    @Parameter(names = "--port", description = "Port on 127.0.0.1; 0 selects a free port")
    private int port;

    @Parameter(names = "--id", description = "Identifier in load reports and the request log")
    private String id = "engine";

    @Parameter(names = "--models", description = "Models that are loaded at startup")
    private List<String> models = List.of("model");

    @Parameter(names = "--token-millis", description = "Generation time of a token")
    private double tokenMillis = 5;

    @Parameter(names = "--max-concurrent", description = "Maximum number of requests in the batch")
    private int maxConcurrent = 32;

    @Parameter(
            names = "--prefill-micros",
            description = "Prefill time of a prompt token that is not cached")
    private long prefillMicros = 20;

    @Parameter(
            names = "--cache-blocks",
            description = "Size of the prefix cache, in blocks of 16 words")
    private int cacheBlocks = 4096;

    @Parameter(names = "--load-lag-millis", description = "Lag of load reports")
    private long loadLagMillis = 500;

    @Parameter(names = "--event-lag-millis", description = "Lag of cache events")
    private long eventLagMillis = 500;

    @Parameter(
            names = "--event-gap-every",
            description = "Lose every n-th cache event; 0 loses none")
    private int eventGapEvery = 50;

    @Parameter(names = "--ignore-fencing", description = "Execute orders with an old fencing token")
    private boolean ignoreFencing;

    @Parameter(names = "--help", help = true, description = "Print this help")
    private boolean help;

    private EngineOptions() {}

    /** Returns the default settings: a free port, 5 ms per token and a batch of 32 requests. */
    public static EngineOptions defaults() {
        return new EngineOptions();
    }

    /** Sets the port; 0 selects a free port. */
    public EngineOptions port(int value) {
        port = value;
        return this;
    }

    /** Sets the identifier in load reports and the request log. */
    public EngineOptions id(String value) {
        id = value;
        return this;
    }

    /** Sets the models that are loaded at startup. */
    public EngineOptions models(String... values) {
        models = List.of(values);
        return this;
    }

    /** Sets the generation time of a token. */
    public EngineOptions tokenMillis(double value) {
        tokenMillis = value;
        return this;
    }

    /** Sets the maximum number of requests in the batch. */
    public EngineOptions maxConcurrent(int value) {
        maxConcurrent = value;
        return this;
    }

    /** Sets the size of the prefix cache, in blocks of 16 words. */
    public EngineOptions cacheBlocks(int value) {
        cacheBlocks = value;
        return this;
    }

    /** Sets the lag of load reports and that of cache events. */
    public EngineOptions lagMillis(long load, long events) {
        loadLagMillis = load;
        eventLagMillis = events;
        return this;
    }

    /** Makes the engine lose every n-th cache event; 0 loses none. */
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

    /** Returns whether the usage text was requested. */
    public boolean help() {
        return help;
    }
}
