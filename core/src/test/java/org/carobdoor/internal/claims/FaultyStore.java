package org.carobdoor.internal.claims;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.carobdoor.Bytes;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;
import org.carobdoor.VersionedValue;

/** A simulated key-value service that loses, delays and refuses operations. */
final class FaultyStore {
    private final Simulator sim;
    final Map<String, VersionedValue> values = new HashMap<>();
    double faultRate;
    boolean down;

    FaultyStore(Simulator sim) {
        this.sim = sim;
    }

    Optional<VersionedValue> get(String key) {
        return Optional.ofNullable(values.get(key));
    }

    Result<Long> compareAndSet(String key, long expected, Bytes value) {
        long version = get(key).map(VersionedValue::version).orElse(0L);
        if (version != expected) {
            return failure(FailureKind.CONFLICT);
        }
        values.put(key, new VersionedValue(key, version + 1, 0, value));
        return Result.ok(version + 1);
    }

    Result<Long> delete(String key, long expected) {
        if (get(key).map(VersionedValue::version).orElse(0L) != expected) {
            return failure(FailureKind.CONFLICT);
        }
        values.remove(key);
        return Result.ok(expected);
    }

    <T> void read(Supplier<T> read, Consumer<Result<T>> outcome) {
        sim.scheduleWithin(
                5,
                () -> {
                    boolean fails = down || sim.chance(faultRate);
                    Result<T> result = fails ? failure(FailureKind.UNKNOWN) : Result.ok(read.get());
                    reply(result, outcome);
                });
    }

    /**
     * Performs {@code write} now, later or never. Its outcome is reported correctly or as unknown.
     */
    void write(Supplier<Result<Long>> write, Consumer<Result<Long>> outcome) {
        if (!down && !sim.chance(faultRate)) {
            sim.scheduleWithin(5, () -> reply(write.get(), outcome));
            return;
        }
        switch (sim.random.nextInt(down ? 3 : 4)) {
            case 0 -> reply(failure(FailureKind.NOT_DONE), outcome);
            case 1 -> reply(failure(FailureKind.UNKNOWN), outcome);
            case 2 -> {
                reply(failure(FailureKind.UNKNOWN), outcome);
                sim.scheduleWithin(
                        3000,
                        () -> {
                            var unused = write.get();
                        });
            }
            default -> {
                var unused = write.get();
                reply(failure(FailureKind.UNKNOWN), outcome);
            }
        }
    }

    /** Delivers an outcome, sometimes after seconds, as to a receiver that was paused. */
    private <T> void reply(Result<T> result, Consumer<Result<T>> outcome) {
        sim.scheduleWithin(sim.chance(faultRate / 5) ? 6000 : 5, () -> outcome.accept(result));
    }

    static <T> Result<T> failure(FailureKind kind) {
        return Result.err(kind, "test", "model", "injected");
    }
}
