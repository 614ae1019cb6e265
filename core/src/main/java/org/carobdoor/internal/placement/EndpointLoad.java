package org.carobdoor.internal.placement;

import org.carobdoor.internal.Rendezvous;
import org.carobdoor.internal.capacity.LearnedCapacity;
import org.carobdoor.internal.directory.EndpointEntry;
import org.carobdoor.internal.health.EndpointHealth;

/**
 * The outstanding work of one endpoint and the speed measured from its answers.
 *
 * <p>The work sent by this node is exact; other nodes report theirs several times per second. Not
 * thread-safe; each instance is confined to one thread.
 */
public final class EndpointLoad {
    private static final double MOVING_AVERAGE_WEIGHT = 0.2;

    /** Assumed prefill rate of an engine until its answers provide a measurement. */
    private static final double INITIAL_TOKENS_PER_MILLI = 45;

    private static final double MIN_TOKENS_PER_MILLI = 2;
    private static final double MAX_TOKENS_PER_MILLI = 120;

    /** Assumed answer time of a plain service until its answers provide a measurement. */
    private static final double INITIAL_ANSWER_MILLIS = 20;

    /** An endpoint with outstanding work that has sent no byte for this long may be dead. */
    private static final long MAX_SILENCE_NANOS = 700_000_000L;

    private final EndpointHealth health = EndpointHealth.create();
    private final ResidentParts residentParts;
    private final long idHash;
    private EndpointEntry entry;
    private LearnedCapacity capacity;
    private int running;
    private int maxRunning = Integer.MAX_VALUE;
    private long unreadTokens;
    private long heldTokens;
    private int remoteRunning;
    private long remoteUnreadTokens;
    private double tokensPerMilli = INITIAL_TOKENS_PER_MILLI;
    private double answerMillis = INITIAL_ANSWER_MILLIS;
    private long busySinceNanos;
    private long lastActivityNanos;
    private long warmUpEndNanos;

    private EndpointLoad(EndpointEntry entry, long memoryTokens, long nowNanos) {
        this.entry = entry;
        this.capacity = LearnedCapacity.nominal(entry.slots());
        this.residentParts = ResidentParts.create(memoryTokens);
        this.idHash = Rendezvous.hash(entry.id().value());
        this.warmUpEndNanos = nowNanos + entry.warmUpMillis() * 1_000_000L;
        this.lastActivityNanos = nowNanos;
    }

    /**
     * Returns the load of an endpoint without outstanding work.
     *
     * @param memoryTokens capacity of its KV cache in tokens; 0 for a plain service
     */
    public static EndpointLoad create(EndpointEntry entry, long memoryTokens, long nowNanos) {
        return new EndpointLoad(entry, memoryTokens, nowNanos);
    }

    /** Returns the latest directory entry of the endpoint. */
    public EndpointEntry entry() {
        return entry;
    }

    /** Replaces the directory entry of the endpoint. */
    public void update(EndpointEntry newer) {
        entry = newer;
    }

    /** Returns the health of the endpoint. */
    public EndpointHealth health() {
        return health;
    }

    /** Returns the prompt parts that this node expects in the cache of the endpoint. */
    public ResidentParts residentParts() {
        return residentParts;
    }

    /**
     * Sets the maximum number of requests of this node at the endpoint, which is its share of the
     * connections.
     */
    public void setMaxRunning(int max) {
        maxRunning = max;
    }

    /** Returns whether this node has reached its maximum number of requests at the endpoint. */
    public boolean isFull() {
        return running >= maxRunning;
    }

    /** Records that a request was sent. */
    public void recordSent(int prefillTokens, long totalTokens, long nowNanos) {
        if (running == 0) {
            busySinceNanos = nowNanos;
        }
        running++;
        unreadTokens += prefillTokens;
        heldTokens += totalTokens;
    }

    /** Records that the first token of a request arrived, which ends its prefill. */
    public void recordPrefillDone(int prefillTokens) {
        unreadTokens = Math.max(0, unreadTokens - prefillTokens);
    }

    /** Records that a request ended and removes its remaining unread tokens. */
    public void recordEnded(int remainingUnreadTokens, long totalTokens) {
        running = Math.max(0, running - 1);
        unreadTokens = Math.max(0, unreadTokens - remainingUnreadTokens);
        heldTokens = Math.max(0, heldTokens - totalTokens);
    }

    /** Records that a byte arrived from the endpoint. */
    public void recordActivity(long nowNanos) {
        lastActivityNanos = nowNanos;
    }

    /**
     * Adds to the outstanding work of other nodes at the endpoint. Negative values subtract from
     * it.
     */
    public void addRemoteWork(int runningDelta, long unreadTokensDelta) {
        remoteRunning += runningDelta;
        remoteUnreadTokens += unreadTokensDelta;
    }

    /** Updates the prefill rate of an engine from the duration of one prefill. */
    public void updatePrefillRate(int tokensRead, double millis) {
        double tokenRate = tokensRead / Math.max(1, millis);
        double bounded = Math.clamp(tokenRate, MIN_TOKENS_PER_MILLI, MAX_TOKENS_PER_MILLI);
        tokensPerMilli += MOVING_AVERAGE_WEIGHT * (bounded - tokensPerMilli);
    }

    /** Updates the answer time of a plain service. */
    public void updateAnswerTime(double millis) {
        answerMillis += MOVING_AVERAGE_WEIGHT * (millis - answerMillis);
    }

    /** Sets what all nodes have learned of the endpoint. */
    public void setCapacity(LearnedCapacity newer) {
        capacity = newer;
    }

    /** Returns what all nodes have learned of the endpoint. */
    public LearnedCapacity capacity() {
        return capacity;
    }

    /** Returns the number of requests of this node at the endpoint. */
    public int running() {
        return running;
    }

    /** Returns the known number of requests of all nodes at the endpoint. */
    public int totalRunning() {
        return running + remoteRunning;
    }

    /** Returns the prompt tokens of this node that the endpoint has not yet prefilled. */
    public long unreadTokens() {
        return unreadTokens;
    }

    /** Returns the known prompt tokens of all nodes that the endpoint has not yet prefilled. */
    public long totalUnreadTokens() {
        return unreadTokens + remoteUnreadTokens;
    }

    /**
     * Returns the maximum number of tokens that the running requests of this node can hold in
     * memory.
     */
    public long heldTokens() {
        return heldTokens;
    }

    /** Returns the prefill rate in prompt tokens per millisecond. */
    public double tokensPerMilli() {
        return tokensPerMilli;
    }

    /** Returns the average answer time of a plain service, in milliseconds. */
    public double answerMillis() {
        return answerMillis;
    }

    /** Returns the remaining warm-up time of the endpoint, in milliseconds. */
    public double remainingWarmUpMillis(long nowNanos) {
        return Math.max(0, warmUpEndNanos - nowNanos) / 1e6;
    }

    /**
     * Returns whether the endpoint has outstanding work and has sent nothing for so long that it
     * may be dead.
     */
    public boolean isSuspect(long nowNanos) {
        long lastEventNanos = Math.max(busySinceNanos, lastActivityNanos);
        return running > 0 && nowNanos - lastEventNanos > MAX_SILENCE_NANOS;
    }

    /**
     * Returns the rendezvous hashing weight of the endpoint for {@code key}, which is the same on
     * all nodes.
     */
    public long weightFor(long key) {
        return Rendezvous.weight(key, idHash);
    }
}
