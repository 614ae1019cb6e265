package org.carobdoor.standins.fake;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.carobdoor.Bytes;
import org.carobdoor.FailureKind;
import org.carobdoor.KeyValueStore;
import org.carobdoor.Lease;
import org.carobdoor.Result;
import org.carobdoor.ValueList;
import org.carobdoor.VersionedValue;
import org.carobdoor.standins.platform.KeyValueState;

/**
 * An in-memory key-value service that simulates outages, lost responses and delayed writes.
 *
 * <p>Random faults are drawn from a generator with the given seed in the order of the calls, so a
 * single-threaded test is reproducible.
 *
 * <pre>{@code
 * var store = FakeKeyValueStore.create(seed, clock);
 * store.loseNextAnswers(1);
 * var result = store.compareAndSet("k", 0, value, deadline); // UNKNOWN, but written
 * }</pre>
 */
public final class FakeKeyValueStore implements KeyValueStore {
    private static final String PEER = "fake-key-value-store";

    private final InstantSource clock;
    private final KeyValueState state;
    private final RandomGenerator random;
    private final Deque<Supplier<KeyValueState.WriteResult>> delayedWrites = new ArrayDeque<>();
    private final Map<String, Long> calls = new TreeMap<>();
    private boolean down;
    private int responsesToLose;
    private int writesToDelay;
    private double lossProbability;
    private double failureProbability;

    private FakeKeyValueStore(long seed, InstantSource clock) {
        this.clock = clock;
        this.state = new KeyValueState(clock);
        this.random = new SplittableRandom(seed);
    }

    /** Creates an empty store without faults. */
    public static FakeKeyValueStore create(long seed, InstantSource clock) {
        return new FakeKeyValueStore(seed, clock);
    }

    /** Returns the contents, for assertions and direct changes that bypass the faults. */
    public KeyValueState state() {
        return state;
    }

    /**
     * Starts or ends an outage, during which calls fail and have no effect. Half of the writes fail
     * with {@link FailureKind#UNKNOWN}, as if the connection closed after the request was sent.
     */
    public synchronized void setDown(boolean value) {
        down = value;
    }

    /**
     * Makes the next {@code count} writes take effect but fail with {@link FailureKind#UNKNOWN}.
     */
    public synchronized void loseNextAnswers(int count) {
        responsesToLose = count;
    }

    /**
     * Makes the next {@code count} writes fail with {@link FailureKind#UNKNOWN}. They take effect
     * only when {@link #applyDelayedWrites} is called.
     */
    public synchronized void delayNextWrites(int count) {
        writesToDelay = count;
    }

    /** Applies the delayed writes in order, each against the version that its key has then. */
    public void applyDelayedWrites() {
        while (true) {
            Supplier<KeyValueState.WriteResult> write;
            synchronized (this) {
                write = delayedWrites.poll();
            }
            if (write == null) {
                return;
            }
            var unused = write.get();
        }
    }

    /** Sets the probability that a write takes effect and its response is lost. */
    public synchronized void setLossProbability(double value) {
        lossProbability = value;
    }

    /** Sets the probability that a call fails with {@link FailureKind#NOT_DONE}. */
    public synchronized void setFailureProbability(double value) {
        failureProbability = value;
    }

    /** Returns the number of calls of get, cas, delete, list, watch or lease. */
    public synchronized long calls(String operation) {
        return calls.getOrDefault(operation, 0L);
    }

    private enum Outcome {
        DONE,
        RESPONSE_LOST,
        DELAYED,
        FAILED,
        UNKNOWN
    }

    @Override
    public Result<Optional<VersionedValue>> get(String key, Instant deadline) {
        return read("get", deadline, () -> Result.ok(state.get(key)));
    }

    @Override
    public Result<Long> compareAndSet(
            String key, long expectedVersion, Bytes value, Instant deadline) {
        return write("cas", deadline, () -> state.compareAndSet(key, expectedVersion, value));
    }

    @Override
    public Result<Long> delete(String key, long expectedVersion, Instant deadline) {
        return write("delete", deadline, () -> state.delete(key, expectedVersion));
    }

    @Override
    public Result<ValueList> list(String prefix, Instant deadline) {
        return read("list", deadline, () -> Result.ok(state.list(prefix)));
    }

    @Override
    public Result<ValueList> watch(String prefix, long afterRevision, Instant deadline) {
        return read("watch", deadline, () -> waitForChange(prefix, afterRevision, deadline));
    }

    @Override
    public Result<Lease> acquireLease(String name, String holder, Instant until, Instant deadline) {
        Duration ttl = Duration.between(clock.instant(), until);
        return switch (nextOutcome("lease", deadline, true)) {
            case FAILED -> failure(FailureKind.NOT_DONE, "lease", "the service is unavailable");
            // A lease applied late would expire later than requested, so a delayed one is dropped.
            case UNKNOWN, DELAYED -> failure(FailureKind.UNKNOWN, "lease", "no response");
            case RESPONSE_LOST -> {
                var unused = state.lease(name, holder, ttl);
                yield failure(FailureKind.UNKNOWN, "lease", "the response was lost");
            }
            case DONE ->
                    state.lease(name, holder, ttl)
                            .map(f -> Result.ok(new Lease(name, holder, f, until)))
                            .orElseGet(
                                    () ->
                                            failure(
                                                    FailureKind.CONFLICT,
                                                    "lease",
                                                    "the lease has another holder"));
        };
    }

    private Result<ValueList> waitForChange(String prefix, long after, Instant deadline) {
        try {
            return Result.ok(state.watch(prefix, after, deadline));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return failure(FailureKind.NOT_DONE, "watch", "interrupted");
        }
    }

    private <T> Result<T> read(String step, Instant deadline, Supplier<Result<T>> operation) {
        return nextOutcome(step, deadline, false) == Outcome.DONE
                ? operation.get()
                : failure(FailureKind.NOT_DONE, step, "the service is unavailable");
    }

    private Result<Long> write(
            String step, Instant deadline, Supplier<KeyValueState.WriteResult> operation) {
        return switch (nextOutcome(step, deadline, true)) {
            case FAILED -> failure(FailureKind.NOT_DONE, step, "the service is unavailable");
            case UNKNOWN ->
                    failure(
                            FailureKind.UNKNOWN,
                            step,
                            "the connection was closed before the response");
            case DELAYED -> {
                synchronized (this) {
                    delayedWrites.add(operation);
                }
                yield failure(FailureKind.UNKNOWN, step, "no response by the deadline");
            }
            case RESPONSE_LOST -> {
                var unused = operation.get();
                yield failure(FailureKind.UNKNOWN, step, "the response was lost");
            }
            case DONE -> {
                KeyValueState.WriteResult written = operation.get();
                yield written.applied()
                        ? Result.ok(written.version())
                        : failure(
                                FailureKind.CONFLICT,
                                step,
                                "the current version is " + written.version());
            }
        };
    }

    private synchronized Outcome nextOutcome(String operation, Instant deadline, boolean isWrite) {
        calls.merge(operation, 1L, Long::sum);
        if (!clock.instant().isBefore(deadline)) {
            return Outcome.FAILED;
        }
        if (down) {
            return isWrite && random.nextBoolean() ? Outcome.UNKNOWN : Outcome.FAILED;
        }
        if (failureProbability > 0 && random.nextDouble() < failureProbability) {
            return Outcome.FAILED;
        }
        if (!isWrite) {
            return Outcome.DONE;
        }
        if (writesToDelay > 0) {
            writesToDelay--;
            return Outcome.DELAYED;
        }
        if (responsesToLose > 0) {
            responsesToLose--;
            return Outcome.RESPONSE_LOST;
        }
        boolean lost = lossProbability > 0 && random.nextDouble() < lossProbability;
        return lost ? Outcome.RESPONSE_LOST : Outcome.DONE;
    }

    private static <T> Result<T> failure(FailureKind kind, String step, String detail) {
        return Result.err(kind, "kv." + step, PEER, detail);
    }
}
