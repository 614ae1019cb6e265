package org.carobdoor.internal.placement;

import org.carobdoor.internal.Rendezvous;
import org.carobdoor.internal.directory.EndpointEntry;
import org.carobdoor.internal.health.EndpointHealth;

/**
 * One endpoint with the work that it has and what its answers have shown so far.
 *
 * <p>The work sent by this node is exact; the other nodes report theirs several times a second.
 * Belongs to one thread.
 */
public final class EndpointLoad {
    private static final double WEIGHT = 0.2;

    /** Prompt tokens that an engine reads in a millisecond, until its answers show its pace. */
    private static final double INITIAL_TOKENS_PER_MILLI = 45;

    private static final double MIN_TOKENS_PER_MILLI = 2;
    private static final double MAX_TOKENS_PER_MILLI = 120;

    /** The time of a plain answer until answers show it. */
    private static final double INITIAL_ANSWER_MILLIS = 20;

    /** Without any byte from an endpoint with outstanding work for this long, it may be dead. */
    private static final long SUSPECT_NANOS = 700_000_000L;

    private final EndpointHealth health = EndpointHealth.create();
    private final ResidentParts parts;
    private final long identityHash;
    private EndpointEntry entry;
    private int running;
    private int maxRunning = Integer.MAX_VALUE;
    private long unreadTokens;
    private long heldTokens;
    private int othersRunning;
    private long othersUnreadTokens;
    private double tokensPerMilli = INITIAL_TOKENS_PER_MILLI;
    private double answerMillis = INITIAL_ANSWER_MILLIS;
    private long busySinceNanos;
    private long heardAtNanos;
    private long warmAtNanos;

    private EndpointLoad(EndpointEntry entry, long memoryTokens, long nowNanos) {
        this.entry = entry;
        this.parts = ResidentParts.create(memoryTokens);
        this.identityHash = Rendezvous.hash(entry.id().value());
        this.warmAtNanos = nowNanos + entry.warmUpMillis() * 1_000_000L;
        this.heardAtNanos = nowNanos;
    }

    /**
     * Returns an endpoint without work.
     *
     * @param memoryTokens the tokens that its KV cache holds; 0 for a plain service
     */
    public static EndpointLoad create(EndpointEntry entry, long memoryTokens, long nowNanos) {
        return new EndpointLoad(entry, memoryTokens, nowNanos);
    }

    /** Returns what the endpoint last said of itself. */
    public EndpointEntry entry() {
        return entry;
    }

    /** Replaces what the endpoint said of itself. */
    public void update(EndpointEntry newer) {
        entry = newer;
    }

    /** Returns its health. */
    public EndpointHealth health() {
        return health;
    }

    /** Returns the parts of prompts that this node expects in its cache. */
    public ResidentParts residentParts() {
        return parts;
    }

    /** Sets how many requests this node may have at the endpoint: its share of the connections. */
    public void setMaxRunning(int max) {
        maxRunning = max;
    }

    /** Returns whether this node has as many requests at the endpoint as it may. */
    public boolean isFull() {
        return running >= maxRunning;
    }

    /** Notes that a request was sent. */
    public void sent(int unread, long totalTokens, long nowNanos) {
        if (running == 0) {
            busySinceNanos = nowNanos;
        }
        running++;
        unreadTokens += unread;
        heldTokens += totalTokens;
    }

    /** Notes that the first token of a request arrived. */
    public void promptRead(int unread) {
        unreadTokens = Math.max(0, unreadTokens - unread);
    }

    /** Notes that a request ended; its prompt counts as read from now on. */
    public void ended(int unreadLeft, long totalTokens) {
        running = Math.max(0, running - 1);
        unreadTokens = Math.max(0, unreadTokens - unreadLeft);
        heldTokens = Math.max(0, heldTokens - totalTokens);
    }

    /** Notes that a byte arrived from the endpoint. */
    public void heard(long nowNanos) {
        heardAtNanos = nowNanos;
    }

    /** Adds to the work that the other nodes have at the endpoint; negative numbers take away. */
    public void addOthers(int runningElsewhere, long unreadElsewhere) {
        othersRunning += runningElsewhere;
        othersUnreadTokens += unreadElsewhere;
    }

    /** Learns the pace of an engine from the time that a prompt took. */
    public void learnPace(int tokensRead, double millis) {
        double pace = tokensRead / Math.max(1, millis);
        double bounded = Math.clamp(pace, MIN_TOKENS_PER_MILLI, MAX_TOKENS_PER_MILLI);
        tokensPerMilli += WEIGHT * (bounded - tokensPerMilli);
    }

    /** Learns the time of a plain answer. */
    public void learnAnswer(double millis) {
        answerMillis += WEIGHT * (millis - answerMillis);
    }

    /** Returns the requests that this node has at the endpoint. */
    public int running() {
        return running;
    }

    /** Returns the requests that all nodes have at the endpoint, as far as known. */
    public int runningEverywhere() {
        return running + othersRunning;
    }

    /** Returns the prompt tokens that this node's requests still wait for. */
    public long unreadTokens() {
        return unreadTokens;
    }

    /** Returns the prompt tokens that all nodes' requests still wait for, as far as known. */
    public long unreadEverywhere() {
        return unreadTokens + othersUnreadTokens;
    }

    /** Returns the tokens that this node's running requests may hold in memory. */
    public long heldTokens() {
        return heldTokens;
    }

    /** Returns the prompt tokens that it reads in a millisecond. */
    public double tokensPerMilli() {
        return tokensPerMilli;
    }

    /** Returns the time that one of its plain answers takes, in milliseconds. */
    public double answerMillis() {
        return answerMillis;
    }

    /** Returns how much longer it stays slow after its start, in milliseconds. */
    public double warmUpLeftMillis(long nowNanos) {
        return Math.max(0, warmAtNanos - nowNanos) / 1e6;
    }

    /** Returns whether it has outstanding work and has been silent for suspiciously long. */
    public boolean isSuspect(long nowNanos) {
        long since = Math.max(busySinceNanos, heardAtNanos);
        return running > 0 && nowNanos - since > SUSPECT_NANOS;
    }

    /** Returns its weight for {@code key}, by which all nodes rank the endpoints the same. */
    public long weightFor(long key) {
        return Rendezvous.weight(key, identityHash);
    }
}
