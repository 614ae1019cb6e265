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
 * An in-memory key-value service with outages, lost answers and delayed writes.
 *
 * <p>Faults that depend on chance are drawn from the seed in the order of the calls, so a test with
 * one thread has the same outcome every time.
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
    private final Deque<Supplier<KeyValueState.Written>> delayed = new ArrayDeque<>();
    private final Map<String, Long> calls = new TreeMap<>();
    private boolean down;
    private int losing;
    private int delaying;
    private double lossProbability;
    private double failureProbability;

    private FakeKeyValueStore(long seed, InstantSource clock) {
        this.clock = clock;
        this.state = new KeyValueState(clock);
        this.random = new SplittableRandom(seed);
    }

    /** Makes an empty store without faults. */
    public static FakeKeyValueStore create(long seed, InstantSource clock) {
        return new FakeKeyValueStore(seed, clock);
    }

    /** Returns the contents, for checks and direct changes by a test. */
    public KeyValueState state() {
        return state;
    }

    /**
     * Starts or ends an outage. Nothing takes effect during one; half of the writes fail with
     * {@link FailureKind#UNKNOWN}, as they do when a connection breaks after the request.
     */
    public synchronized void setDown(boolean value) {
        down = value;
    }

    /** Lets the next {@code count} writes take effect and fail with {@link FailureKind#UNKNOWN}. */
    public synchronized void loseNextAnswers(int count) {
        losing = count;
    }

    /**
     * Lets the next {@code count} writes fail with {@link FailureKind#UNKNOWN} and keeps them until
     * {@link #applyDelayedWrites}.
     */
    public synchronized void delayNextWrites(int count) {
        delaying = count;
    }

    /** Applies the writes that were kept, in their order, against the versions of now. */
    public void applyDelayedWrites() {
        while (true) {
            Supplier<KeyValueState.Written> write;
            synchronized (this) {
                write = delayed.poll();
            }
            if (write == null) {
                return;
            }
            var unused = write.get();
        }
    }

    /** Sets the probability that the answer of a write is lost. */
    public synchronized void setLossProbability(double value) {
        lossProbability = value;
    }

    /** Sets the probability that a call fails with {@link FailureKind#NOT_DONE}. */
    public synchronized void setFailureProbability(double value) {
        failureProbability = value;
    }

    /** Returns how often an operation was called: get, cas, delete, list, watch or lease. */
    public synchronized long calls(String operation) {
        return calls.getOrDefault(operation, 0L);
    }

    private enum Fate {
        DONE,
        LOST,
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
        return switch (fate("lease", deadline, true)) {
            case FAILED -> failure(FailureKind.NOT_DONE, "lease", "the service is down");
            // A lease that comes late would run from a later time, so a delayed one is dropped.
            case UNKNOWN, DELAYED -> failure(FailureKind.UNKNOWN, "lease", "no answer");
            case LOST -> {
                var unused = state.lease(name, holder, ttl);
                yield failure(FailureKind.UNKNOWN, "lease", "the answer was lost");
            }
            case DONE ->
                    state.lease(name, holder, ttl)
                            .map(f -> Result.ok(new Lease(name, holder, f, until)))
                            .orElseGet(
                                    () ->
                                            failure(
                                                    FailureKind.CONFLICT,
                                                    "lease",
                                                    "held by another"));
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
        return fate(step, deadline, false) == Fate.DONE
                ? operation.get()
                : failure(FailureKind.NOT_DONE, step, "the service is down");
    }

    private Result<Long> write(
            String step, Instant deadline, Supplier<KeyValueState.Written> operation) {
        return switch (fate(step, deadline, true)) {
            case FAILED -> failure(FailureKind.NOT_DONE, step, "the service is down");
            case UNKNOWN -> failure(FailureKind.UNKNOWN, step, "the connection broke");
            case DELAYED -> {
                synchronized (this) {
                    delayed.add(operation);
                }
                yield failure(FailureKind.UNKNOWN, step, "no answer by the deadline");
            }
            case LOST -> {
                var unused = operation.get();
                yield failure(FailureKind.UNKNOWN, step, "the answer was lost");
            }
            case DONE -> {
                KeyValueState.Written written = operation.get();
                yield written.applied()
                        ? Result.ok(written.version())
                        : failure(
                                FailureKind.CONFLICT, step, "the version is " + written.version());
            }
        };
    }

    private synchronized Fate fate(String operation, Instant deadline, boolean isWrite) {
        calls.merge(operation, 1L, Long::sum);
        if (!clock.instant().isBefore(deadline)) {
            return Fate.FAILED;
        }
        if (down) {
            return isWrite && random.nextBoolean() ? Fate.UNKNOWN : Fate.FAILED;
        }
        if (failureProbability > 0 && random.nextDouble() < failureProbability) {
            return Fate.FAILED;
        }
        if (!isWrite) {
            return Fate.DONE;
        }
        if (delaying > 0) {
            delaying--;
            return Fate.DELAYED;
        }
        if (losing > 0) {
            losing--;
            return Fate.LOST;
        }
        boolean lost = lossProbability > 0 && random.nextDouble() < lossProbability;
        return lost ? Fate.LOST : Fate.DONE;
    }

    private static <T> Result<T> failure(FailureKind kind, String step, String detail) {
        return Result.err(kind, "kv." + step, PEER, detail);
    }
}
