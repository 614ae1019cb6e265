package org.carobdoor.node.work;

import java.time.Instant;
import java.util.Optional;
import org.carobdoor.Bytes;
import org.carobdoor.FailureKind;
import org.carobdoor.KeyValueStore;
import org.carobdoor.NodeId;
import org.carobdoor.Result;
import org.carobdoor.VersionedValue;
import org.carobdoor.internal.work.OwnershipDecision;

/**
 * Stores takeover decisions in the platform's key-value service, each under its own write-once key.
 * The first line of a value is the winner, the second its copy holder, the third the time after
 * which the decision can be deleted.
 */
public final class KeyValueTakeoverStore implements TakeoverStore {
    private static final String PREFIX = "work/terms/";
    private static final int LINES = 3;

    private final KeyValueStore store;

    private KeyValueTakeoverStore(KeyValueStore store) {
        this.store = store;
    }

    /** Returns a takeover store backed by {@code store}. */
    public static KeyValueTakeoverStore create(KeyValueStore store) {
        return new KeyValueTakeoverStore(store);
    }

    @Override
    public Result<OwnershipDecision> decide(
            String requestId,
            int term,
            NodeId winner,
            Optional<NodeId> holder,
            Instant until,
            Instant deadline) {
        String key = PREFIX + requestId + "/" + term;
        String text = winner + "\n" + holder.map(NodeId::value).orElse("") + "\n" + until;
        return switch (store.compareAndSet(key, 0, Bytes.utf8(text), deadline)) {
            case Result.Ok<Long> ok -> Result.ok(new OwnershipDecision(winner, holder));
            case Result.Err<Long>(var failure) when failure.kind() == FailureKind.NOT_DONE ->
                    Result.err(failure);
            // The key is write-once, so any value read is the decision, whichever node wrote it. If
            // the key is absent, the write may still take effect; the caller retries with the same
            // decision.
            case Result.Err<Long>(var failure) ->
                    store.get(key, deadline)
                            .flatMap(
                                    value ->
                                            value.flatMap(KeyValueTakeoverStore::parse)
                                                    .map(Result::ok)
                                                    .orElseGet(() -> Result.err(failure)));
        };
    }

    private static Optional<OwnershipDecision> parse(VersionedValue value) {
        String[] lines = value.value().toUtf8().split("\n", -1);
        if (lines.length != LINES || lines[0].isBlank()) {
            return Optional.empty();
        }
        Optional<NodeId> holder =
                lines[1].isBlank() ? Optional.empty() : Optional.of(new NodeId(lines[1]));
        return Optional.of(new OwnershipDecision(new NodeId(lines[0]), holder));
    }
}
