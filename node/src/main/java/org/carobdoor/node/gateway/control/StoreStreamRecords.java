package org.carobdoor.node.gateway.control;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.carobdoor.Bytes;
import org.carobdoor.Failure;
import org.carobdoor.Result;
import org.carobdoor.internal.resume.StoredStarts;
import org.carobdoor.internal.resume.StreamVersions;
import org.carobdoor.internal.store.StoreAnswer;
import org.carobdoor.internal.store.StoreItem;
import org.carobdoor.node.gateway.forward.ForwardingState;
import org.carobdoor.node.gateway.forward.StreamRecords;
import org.carobdoor.node.gateway.log.DecisionLog;

/**
 * Keeps the streams that this node started in the store while several versions serve, and reads
 * those of all nodes. The records of a run are under a lease that outlives the streams, since a
 * caller may take up a stream after its node has stopped. Must be used on the event loop.
 */
final class StoreStreamRecords implements StreamRecords {
    private static final long TICK_MILLIS = 100;
    private static final long MIN_INTERVAL_MILLIS = 400;

    /** Bounds the calls of all nodes together. */
    private static final long INTERVAL_MILLIS_PER_NODE = 2;

    private static final long READ_RETRY_MILLIS = 1_000;
    private static final long LEASE_MILLIS =
            TimeUnit.NANOSECONDS.toMillis(StreamVersions.MIXED_MEMORY_NANOS);
    private static final long RENEW_MILLIS = LEASE_MILLIS / 3;

    private final EventLoop loop;
    private final StoreClient store;
    private final ForwardingState state;
    private final IntSupplier nodes;
    private final String key;
    private final DecisionLog log;
    private List<Consumer<Optional<StoredStarts>>> readers = new ArrayList<>();
    private boolean reading;
    private boolean writing;
    private long lease;
    private long renewAtNanos;
    private long nextWriteNanos = System.nanoTime();
    private long nextReadNanos = System.nanoTime();

    StoreStreamRecords(
            EventLoop loop,
            StoreClient store,
            ForwardingState state,
            IntSupplier nodes,
            String run,
            DecisionLog log) {
        this.loop = loop;
        this.store = store;
        this.state = state;
        this.nodes = nodes;
        this.key = NodeStoreKeys.STREAMS_PREFIX + run;
        this.log = log;
    }

    void start() {
        readEarlier();
        GuardedTask.repeat(loop, "streams", this::tick, TICK_MILLIS, log);
    }

    /** Reads whether several versions served before this process started, until it is known. */
    private void readEarlier() {
        read(
                stored -> {
                    if (stored.isPresent()) {
                        state.streams().recordStored(stored.get(), System.nanoTime());
                    } else {
                        loop.schedule(this::readEarlier, READ_RETRY_MILLIS, TimeUnit.MILLISECONDS);
                    }
                });
    }

    /** Drops the lease, which a store in a new era does not know. */
    void eraBegan() {
        lease = 0;
        state.streams().publishFailed();
    }

    private void tick() {
        long now = System.nanoTime();
        state.recordVersions(now);
        state.streams().expire(now);
        if (!readers.isEmpty() && !reading && now - nextReadNanos >= 0) {
            startRead(now);
        }
        if (!writing && now - nextWriteNanos >= 0) {
            write(now);
        }
    }

    private long intervalNanos() {
        long millis = Math.max(MIN_INTERVAL_MILLIS, INTERVAL_MILLIS_PER_NODE * nodes.getAsInt());
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private void write(long now) {
        boolean mixed = state.streams().isAnyMixed(now);
        if (!mixed) {
            return;
        }
        if (lease == 0) {
            writing = true;
            store.acquireLease(LEASE_MILLIS, this::leaseAnswered);
        } else if (now - renewAtNanos >= 0) {
            writing = true;
            store.renewLease(lease, this::leaseAnswered);
        } else {
            state.streams().takeUnpublished(now).ifPresent(s -> write(s, now));
        }
    }

    private void leaseAnswered(StoreAnswer answer) {
        writing = false;
        long now = System.nanoTime();
        switch (answer) {
            case StoreAnswer.LeaseGranted(long granted, long ttlMillis) -> {
                lease = granted;
                renewAtNanos = now + TimeUnit.MILLISECONDS.toNanos(RENEW_MILLIS);
                nextWriteNanos = now;
            }
            case StoreAnswer.Missing m -> {
                lease = 0;
                state.streams().publishFailed();
                nextWriteNanos = now;
            }
            default -> nextWriteNanos = now + intervalNanos();
        }
    }

    private void write(StoredStarts starts, long now) {
        writing = true;
        nextWriteNanos = now + intervalNanos();
        Bytes value = StreamStartsCodec.encode(starts);
        store.write(
                Map.of(),
                key,
                value,
                lease,
                answer -> {
                    writing = false;
                    if (!(answer instanceof StoreAnswer.Written)) {
                        state.streams().publishFailed();
                        lease = answer instanceof StoreAnswer.Missing ? 0 : lease;
                        log.line("streams.not_written")
                                .add("answer", '"' + answer.toString() + '"')
                                .write();
                    }
                });
    }

    @Override
    public void read(Consumer<Optional<StoredStarts>> callback) {
        readers.add(callback);
        long now = System.nanoTime();
        if (!reading && now - nextReadNanos >= 0) {
            startRead(now);
        }
    }

    private void startRead(long now) {
        reading = true;
        nextReadNanos = now + intervalNanos() / 2;
        List<Consumer<Optional<StoredStarts>>> served = readers;
        readers = new ArrayList<>();
        readPage("", new ArrayList<>(), served);
    }

    private void readPage(
            String after, List<StoredStarts> all, List<Consumer<Optional<StoredStarts>>> served) {
        store.range(
                NodeStoreKeys.STREAMS_PREFIX,
                after,
                answer -> {
                    if (!(answer
                            instanceof
                            StoreAnswer.Page(
                                    List<StoreItem> items,
                                    boolean truncated,
                                    long revision))) {
                        finishRead(Optional.empty(), served);
                        return;
                    }
                    for (StoreItem i : items) {
                        Optional<StoredStarts> decoded = decode(i);
                        if (decoded.isEmpty()) {
                            finishRead(Optional.empty(), served);
                            return;
                        }
                        all.add(decoded.get());
                    }
                    if (truncated && !items.isEmpty()) {
                        readPage(items.getLast().key(), all, served);
                    } else {
                        finishRead(Optional.of(StoredStarts.union(all)), served);
                    }
                });
    }

    private void finishRead(
            Optional<StoredStarts> result, List<Consumer<Optional<StoredStarts>>> served) {
        reading = false;
        served.forEach(c -> GuardedTask.run("stream records", () -> c.accept(result), log));
    }

    private Optional<StoredStarts> decode(StoreItem item) {
        return switch (StreamStartsCodec.decode(item.value())) {
            case Result.Ok<StoredStarts>(StoredStarts s) -> Optional.of(s);
            case Result.Err<StoredStarts>(Failure f) -> {
                log.line("streams.unreadable").add("failure", '"' + f.toString() + '"').write();
                yield Optional.empty();
            }
        };
    }
}
