package org.carobdoor.internal.claims;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.carobdoor.Bytes;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;
import org.carobdoor.VersionedValue;
import org.carobdoor.internal.Preconditions;
import org.carobdoor.message.ClaimLookup;
import org.carobdoor.message.ClaimReply;
import org.carobdoor.message.ClaimReply.Outcome;
import org.carobdoor.message.ClaimRequest;
import org.carobdoor.message.ClaimUpdate;
import org.jspecify.annotations.Nullable;

/**
 * The state machine of one claim log on a node that owns it or believes that it does.
 *
 * <pre>{@code
 * long ticket = log.submit(request, from);
 * while (true) {
 *     switch (log.next()) {
 *         case LogOperation.ReadHead op -> log.onHeadRead(store.get(headKey, op.deadline()));
 *         ...
 *     }
 *     log.drainReplies().forEach(this::reply);
 * }
 * }</pre>
 *
 * <p>At most one operation is in progress. Its outcome must be passed back, however late, before
 * {@link #next} is called again. Any number of owners may write to the same log: each write is
 * conditional on the expected head version, and an owner whose write fails reads the log again and
 * decides its messages again. Not thread-safe.
 *
 * <p>After a write whose outcome is unknown, the head is read back. If it still has the expected
 * version, the identical write is repeated: the first copy may still take effect, but at most one
 * of the two copies can. If the version has changed, the write has either taken effect or never
 * will; the batch tokens in the head show which.
 */
public final class ClaimLog {
    private enum Phase {
        UNLOADED,
        LOADING,
        READY,
        SEALING,
        WRITING,
        IN_DOUBT
    }

    /** Maximum number of segments read in parallel. They must all fit in the segment cache. */
    private static final int MAX_PARALLEL_READS = SegmentIndex.MAX_CACHED_SEGMENTS;

    /** Maximum time that an update waits. The claimant repeats updates, so it can be short. */
    private static final Duration UPDATE_TIMEOUT = Duration.ofSeconds(5);

    /** One failure may be a lost response; after two in a row, callers get UNAVAILABLE. */
    private static final int MAX_TOLERATED_FAILURES = 1;

    private final ClaimLogSettings settings;
    private final InstantSource clock;
    private final RandomGenerator random;
    private final ClaimLogListener listener;
    private final BackOff failures;
    private final BackOff conflicts;

    private final LogContent content = new LogContent();
    private final MessageQueue queue = new MessageQueue();
    private final TreeSet<Long> orphanedSegments = new TreeSet<>();
    private final TreeSet<Long> deletedSegments = new TreeSet<>();
    private Phase phase = Phase.UNLOADED;
    private @Nullable LogOperation current;
    private @Nullable Batch batch;
    private @Nullable Bytes segment;
    private boolean sealed;
    private boolean loadRequested;
    private Instant nextWriteAt = Instant.EPOCH;
    private Instant nextRefreshAt = Instant.EPOCH;
    private Instant startedAt = Instant.EPOCH;
    private Instant confirmedAt = Instant.EPOCH;
    private Instant notBefore = Instant.EPOCH;

    /** Creates a log that is loaded on the first message or by {@link #load}. */
    public ClaimLog(
            ClaimLogSettings settings,
            InstantSource clock,
            RandomGenerator random,
            ClaimLogListener listener) {
        this.settings = settings;
        this.clock = clock;
        this.random = random;
        this.listener = listener;
        this.failures = new BackOff(settings.writeInterval(), settings.maxBackOff(), random);
        this.conflicts = new BackOff(settings.writeInterval(), settings.maxBackOff(), random);
    }

    /** Submits a claim request and returns the ticket of its reply. */
    public long submit(ClaimRequest request, String from) {
        Instant now = clock.instant();
        return queue.add(request, Id128.of(request.keyHash()), from, now, now, request.deadline());
    }

    /** Submits the outcome of a call, or a release, and returns the ticket of its reply. */
    public long submit(ClaimUpdate update, String from) {
        Instant now = clock.instant();
        Instant writeBy = now.plus(settings.updateDelay());
        Id128 key = Id128.of(update.keyHash());
        return queue.add(update, key, from, now, writeBy, now.plus(UPDATE_TIMEOUT));
    }

    /** Submits a lookup and returns the ticket of its reply. */
    public long submit(ClaimLookup lookup, Instant deadline) {
        Instant now = clock.instant();
        return queue.add(lookup, Id128.of(lookup.keyHash()), "", now, now, deadline);
    }

    /** Requests that the log is loaded before the first message arrives. */
    public void load() {
        loadRequested = true;
    }

    /** Returns and removes the replies that are ready to be sent. */
    public List<ClaimLogReply> drainReplies() {
        return queue.drainReplies();
    }

    /** Returns the number of sealed records in the index. */
    public int indexedRecords() {
        return content.index().size();
    }

    /** Returns the operation to perform now. */
    public LogOperation next() {
        Preconditions.checkInvariant(current == null, "next() was called during an operation");
        Instant now = clock.instant();
        queue.expire(now);
        if (now.isBefore(notBefore)) {
            return new LogOperation.Pause(notBefore);
        }
        return switch (phase) {
            case UNLOADED ->
                    queue.isEmpty() && !loadRequested ? new LogOperation.Idle() : readHead(now);
            case IN_DOUBT -> readHead(now);
            case LOADING -> loadSegments(now);
            case READY -> decide(now);
            case SEALING, WRITING -> write(now);
        };
    }

    private LogOperation startOperation(LogOperation operation) {
        current = operation;
        startedAt = clock.instant();
        return operation;
    }

    private LogOperation readHead(Instant now) {
        return startOperation(new LogOperation.ReadHead(now.plus(settings.operationTimeout())));
    }

    private LogOperation loadSegments(Instant now) {
        List<Long> missing = content.unindexedSegments();
        if (missing.isEmpty()) {
            phase = Phase.READY;
            return decide(now);
        }
        return readSegments(missing, now);
    }

    private LogOperation readSegments(List<Long> numbers, Instant now) {
        List<Long> first = numbers.subList(0, Math.min(MAX_PARALLEL_READS, numbers.size()));
        return startOperation(
                new LogOperation.ReadSegments(
                        List.copyOf(first), now.plus(settings.operationTimeout())));
    }

    private LogOperation decide(Instant now) {
        if (now.isBefore(nextWriteAt) && (!queue.isEmpty() || isCleaningDue(now))) {
            return new LogOperation.Pause(nextWriteAt);
        }
        if (queue.isEmpty()) {
            content.index().clearCache();
            conflicts.reset();
            return cleanUp(now);
        }
        BatchPlan plan = new BatchPlan(content, queue.waiting(), confirmedAt, now);
        queue.addReplies(plan.immediateReplies);
        queue.replaceWaiting(plan.entries, plan.waiting);
        if (plan.isDue(now)) {
            return isSealingDue() ? startSealing(now) : startWriting(plan, now);
        }
        if (!plan.unreadSegments.isEmpty()) {
            return readSegments(List.copyOf(plan.unreadSegments), now);
        }
        if (plan.refreshNeeded) {
            return refresh(now);
        }
        return queue.isEmpty() ? cleanUp(now) : new LogOperation.Pause(queue.earliestWriteBy());
    }

    /** Reads the head to check whether another owner has written since the messages arrived. */
    private LogOperation refresh(Instant now) {
        if (now.isBefore(nextRefreshAt)) {
            return new LogOperation.Pause(nextRefreshAt);
        }
        nextRefreshAt = now.plus(settings.writeInterval());
        return readHead(now);
    }

    private boolean isSealingDue() {
        int size = content.head().records().size() * ClaimCodec.TYPICAL_RECORD_BYTES;
        return !sealed && size > settings.sealBytes();
    }

    private LogOperation startSealing(Instant now) {
        segment = ClaimCodec.encodeSegment(content.head().records());
        orphanedSegments.add(content.version());
        phase = Phase.SEALING;
        return write(now);
    }

    private LogOperation startWriting(BatchPlan plan, Instant now) {
        Id128 token = Id128.random(random);
        TreeSet<Long> unlisted = new TreeSet<>(orphanedSegments);
        unlisted.remove(content.version());
        LogHead head =
                content.nextHead(token, plan.changes, sealed, unlisted, deletedSegments, now);
        batch =
                new Batch(
                        token,
                        content.version(),
                        head,
                        ClaimCodec.encodeHead(head),
                        plan.changes.size(),
                        plan.entries,
                        plan.repliesAfterWrite);
        queue.replaceWaiting(plan.waiting, List.of());
        phase = Phase.WRITING;
        return write(now);
    }

    /** Starts or repeats the write of the current phase. */
    private LogOperation write(Instant now) {
        if (now.isBefore(nextWriteAt)) {
            return new LogOperation.Pause(nextWriteAt);
        }
        nextWriteAt = now.plus(settings.writeInterval());
        Instant deadline = now.plus(settings.operationTimeout());
        if (phase == Phase.SEALING && segment != null) {
            return startOperation(
                    new LogOperation.WriteSegment(content.version(), segment, deadline));
        }
        Batch writing = batch();
        return startOperation(
                new LogOperation.WriteHead(writing.expectedVersion(), writing.value(), deadline));
    }

    private boolean isCleaningDue(Instant now) {
        return !undeletedSegments().isEmpty() || !content.expiredSegments(now).isEmpty();
    }

    private List<Long> undeletedSegments() {
        return content.head().dropped().stream().filter(n -> !deletedSegments.contains(n)).toList();
    }

    /** Deletes a dropped segment, trims the log, or waits until a segment expires. */
    private LogOperation cleanUp(Instant now) {
        List<Long> undeleted = undeletedSegments();
        if (!undeleted.isEmpty()) {
            nextWriteAt = now.plus(settings.writeInterval());
            return startOperation(
                    new LogOperation.DeleteSegment(
                            undeleted.get(0), now.plus(settings.operationTimeout())));
        }
        if (!content.expiredSegments(now).isEmpty()) {
            return startWriting(new BatchPlan(content, List.of(), confirmedAt, now), now);
        }
        return content.head().segments().stream()
                .map(SegmentInfo::latestRememberUntil)
                .min(Instant::compareTo)
                .<LogOperation>map(LogOperation.Pause::new)
                .orElseGet(LogOperation.Idle::new);
    }

    /** Handles the outcome of {@link LogOperation.ReadHead}. */
    public void onHeadRead(Result<Optional<VersionedValue>> outcome) {
        finishOperation(LogOperation.ReadHead.class);
        switch (outcome) {
            case Result.Err<Optional<VersionedValue>> err -> onFailure();
            case Result.Ok<Optional<VersionedValue>>(var found) -> {
                long version = found.map(VersionedValue::version).orElse(0L);
                if (phase == Phase.IN_DOUBT && version == batch().expectedVersion()) {
                    failures.reset();
                    phase = Phase.WRITING;
                    return;
                }
                if (phase == Phase.READY && version == content.version()) {
                    failures.reset();
                    confirmedAt = startedAt;
                    return;
                }
                Result<LogHead> head =
                        found.map(value -> ClaimCodec.decodeHead(value.value()))
                                .orElse(Result.ok(LogHead.EMPTY));
                switch (head) {
                    case Result.Err<LogHead> err -> onFailure();
                    case Result.Ok<LogHead>(var read) -> onNewHead(version, read);
                }
            }
        }
    }

    private void onNewHead(long version, LogHead head) {
        failures.reset();
        if (batch != null) {
            boolean written = head.batches().contains(batch.token());
            Preconditions.checkInvariant(
                    !written || version > batch.expectedVersion(),
                    "batch token in an unchanged head");
            listener.onResolved(written);
            requeue();
        }
        replaceHead(version, head);
        confirmedAt = startedAt;
        phase = Phase.LOADING;
    }

    /** Handles the outcomes of {@link LogOperation.ReadSegments}, in the order of its numbers. */
    public void onSegmentsRead(List<Result<Optional<VersionedValue>>> outcomes) {
        List<Long> numbers = finishOperation(LogOperation.ReadSegments.class).numbers();
        boolean failed = false;
        boolean missing = false;
        for (int i = 0; i < numbers.size(); i++) {
            long number = numbers.get(i);
            switch (outcomes.get(i)) {
                case Result.Err<Optional<VersionedValue>> err -> failed = true;
                case Result.Ok<Optional<VersionedValue>>(var found) -> {
                    missing |= found.isEmpty();
                    failed |= found.isPresent() && !addSegment(number, found.get().value());
                }
            }
        }
        if (missing) {
            // Another owner has deleted a segment, so the known head is out of date.
            phase = Phase.UNLOADED;
        }
        if (failed || missing) {
            onFailure();
        } else {
            failures.reset();
        }
    }

    private boolean addSegment(long number, Bytes value) {
        Result<List<ClaimRecord>> records = ClaimCodec.decodeSegment(value);
        if (records instanceof Result.Ok<List<ClaimRecord>>(var list)) {
            if (phase == Phase.LOADING) {
                content.index().add(number, list);
            } else {
                content.index().cache(number, list);
            }
        }
        return records.isOk();
    }

    /** Handles the outcome of {@link LogOperation.WriteHead}. */
    public void onHeadWritten(Result<Long> outcome) {
        finishOperation(LogOperation.WriteHead.class);
        switch (outcome) {
            case Result.Ok<Long>(var version) -> onWritten(version);
            case Result.Err<Long>(var failure) when failure.kind() == FailureKind.CONFLICT -> {
                listener.onConflict();
                phase = Phase.IN_DOUBT;
                notBefore = clock.instant().plus(conflicts.next());
            }
            case Result.Err<Long> err -> {
                phase = Phase.IN_DOUBT;
                onFailure();
            }
        }
    }

    private void onWritten(long version) {
        Batch written = batch();
        Preconditions.checkInvariant(
                version > written.expectedVersion(), "a write did not increase the version");
        failures.reset();
        conflicts.reset();
        if (sealed) {
            content.index().add(content.version(), content.head().records());
            listener.onSeal();
        }
        int trimmed = content.head().segments().size() + (sealed ? 1 : 0);
        batch = null;
        replaceHead(version, written.head());
        confirmedAt = startedAt;
        listener.onWrite(written.changes());
        listener.onTrim(trimmed - written.head().segments().size());
        checkGrants(written);
        queue.addReplies(written.replies());
        phase = Phase.READY;
    }

    /** Checks that every grant has its record in the written head. */
    private void checkGrants(Batch written) {
        for (int i = 0; i < written.entries().size(); i++) {
            ClaimReply reply = written.replies().get(i).reply();
            if (reply.outcome() == Outcome.GRANTED) {
                ClaimRecord record = content.find(written.entries().get(i).key(), List.of());
                Preconditions.checkInvariant(
                        record != null
                                && record.token().toBytes().equals(reply.token())
                                && record.state() == ClaimState.CLAIMED,
                        "granted claim is missing from the written head");
            }
        }
    }

    /** Handles the outcome of {@link LogOperation.WriteSegment}. */
    public void onSegmentWritten(Result<Long> outcome) {
        finishOperation(LogOperation.WriteSegment.class);
        switch (outcome) {
            case Result.Ok<Long> ok -> onSealed();
            // The segment exists already; every owner writes the same content under its number.
            case Result.Err<Long>(var failure) when failure.kind() == FailureKind.CONFLICT ->
                    onSealed();
            case Result.Err<Long> err -> onFailure();
        }
    }

    private void onSealed() {
        failures.reset();
        sealed = true;
        segment = null;
        phase = Phase.READY;
    }

    /** Handles the outcome of {@link LogOperation.DeleteSegment}. */
    public void onSegmentDeleted(Result<Long> outcome) {
        long number = finishOperation(LogOperation.DeleteSegment.class).number();
        switch (outcome) {
            case Result.Ok<Long> ok -> deletedSegments.add(number);
            case Result.Err<Long>(var failure) when failure.kind() == FailureKind.CONFLICT ->
                    deletedSegments.add(number);
            case Result.Err<Long> err -> onFailure();
        }
    }

    private void replaceHead(long version, LogHead head) {
        if (version != content.version()) {
            sealed = false;
            segment = null;
        }
        content.replaceHead(version, head);
        head.segments().forEach(info -> orphanedSegments.remove(info.number()));
        orphanedSegments.removeAll(head.dropped());
        deletedSegments.retainAll(head.dropped());
    }

    private void requeue() {
        queue.replaceWaiting(batch().entries(), queue.waiting());
        batch = null;
    }

    private void onFailure() {
        listener.onFailure();
        notBefore = clock.instant().plus(failures.next());
        if (failures.attempts() > MAX_TOLERATED_FAILURES) {
            queue.rejectAll();
            rejectBatch();
        }
    }

    /** Answers the messages of the write with UNAVAILABLE; its outcome remains in doubt. */
    private void rejectBatch() {
        if (batch != null) {
            queue.reject(batch.entries());
            batch = batch.withoutEntries();
        }
    }

    private Batch batch() {
        return Preconditions.checkPresent(batch, "no write is in progress");
    }

    private <T extends LogOperation> T finishOperation(Class<T> type) {
        Preconditions.checkInvariant(type.isInstance(current), "outcome of another operation");
        LogOperation finished = Preconditions.checkPresent(current, "no operation is in progress");
        current = null;
        return type.cast(finished);
    }
}
