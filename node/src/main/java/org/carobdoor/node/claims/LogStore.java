package org.carobdoor.node.claims;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.carobdoor.FailureKind;
import org.carobdoor.KeyValueStore;
import org.carobdoor.Result;
import org.carobdoor.VersionedValue;
import org.carobdoor.internal.claims.LogOperation;

/** Executes the operations of one claim log on the key-value service. */
final class LogStore {
    /** A segment is written once, so its only version is 1. */
    private static final long SEGMENT_VERSION = 1;

    private final KeyValueStore store;
    private final String prefix;

    LogStore(KeyValueStore store, int log) {
        this.store = store;
        this.prefix = "claims/" + log + "/";
    }

    Result<Optional<VersionedValue>> readHead(LogOperation.ReadHead operation) {
        return store.get(prefix + "head", operation.deadline());
    }

    Result<Long> writeHead(LogOperation.WriteHead operation) {
        return store.compareAndSet(
                prefix + "head",
                operation.expectedVersion(),
                operation.value(),
                operation.deadline());
    }

    Result<Long> writeSegment(LogOperation.WriteSegment operation) {
        return store.compareAndSet(
                segment(operation.number()), 0, operation.value(), operation.deadline());
    }

    Result<Long> deleteSegment(LogOperation.DeleteSegment operation) {
        return store.delete(segment(operation.number()), SEGMENT_VERSION, operation.deadline());
    }

    /** Reads all segments concurrently, each on its own virtual thread. */
    List<Result<Optional<VersionedValue>>> readSegments(LogOperation.ReadSegments operation)
            throws InterruptedException {
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<Result<Optional<VersionedValue>>>> reads = new ArrayList<>();
            for (long number : operation.numbers()) {
                reads.add(threads.submit(() -> readSegment(number, operation.deadline())));
            }
            List<Result<Optional<VersionedValue>>> outcomes = new ArrayList<>();
            for (Future<Result<Optional<VersionedValue>>> read : reads) {
                outcomes.add(outcome(read));
            }
            return outcomes;
        }
    }

    private Result<Optional<VersionedValue>> readSegment(long number, Instant deadline) {
        return store.get(segment(number), deadline);
    }

    private static Result<Optional<VersionedValue>> outcome(
            Future<Result<Optional<VersionedValue>>> read) throws InterruptedException {
        try {
            return read.get();
        } catch (ExecutionException e) {
            return Result.err(
                    FailureKind.UNKNOWN,
                    "claims.readSegment",
                    "key-value service",
                    String.valueOf(e.getCause()));
        }
    }

    private String segment(long number) {
        return prefix + "segment/" + number;
    }
}
