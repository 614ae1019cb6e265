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
 * One claim log at a node that owns it, or believes so.
 *
 * <pre>{@code
 * long ticket = log.submit(request, from);
 * while (true) {
 *     switch (log.next()) {
 *         case LogOperation.ReadHead op -> log.onHeadRead(store.get(headKey, op.deadline()));
 *         ...
 *     }
 *     log.takeSettled().forEach(this::reply);
 * }
 * }</pre>
 *
 * <p>At most one operation is under way. Its outcome must be passed back, however late, before
 * {@link #next} returns another one. Any number of owners may work on the same log: each write
 * names the version that it rests on, and an owner whose write fails reads the log again and
 * decides its messages anew. Not safe for use by several threads at once.
 *
 * <p>What happens to a write whose outcome is unknown: the head is read back. If its version is
 * still the expected one, the identical write is repeated, since the first copy may yet take effect
 * and then the second one fails, or the other way round. If the version has changed, the write has
 * taken effect before or never will; the records of the head that was read show which.
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

    /** Reads of segments at once while a log is loaded. */
    private static final int PARALLEL_READS = SegmentIndex.MAX_OPEN;

    /** Outcomes of calls are repeated by their claimant, so they need not wait for long. */
    private static final Duration UPDATE_PATIENCE = Duration.ofSeconds(5);

    /** One failure can be a lost answer; after the second one in a row callers are told. */
    private static final int FAILURES_TOLERATED = 1;

    private final ClaimLogSettings settings;
    private final InstantSource clock;
    private final RandomGenerator random;
    private final ClaimLogListener listener;
    private final BackOff failures;
    private final BackOff conflicts;

    private final LogContent content = new LogContent();
    private final MessageQueue queue = new MessageQueue();
    private final TreeSet<Long> orphans = new TreeSet<>();
    private final TreeSet<Long> deleted = new TreeSet<>();
    private Phase phase = Phase.UNLOADED;
    private @Nullable LogOperation current;
    private @Nullable Batch batch;
    private @Nullable Bytes segment;
    private boolean sealed;
    private boolean wanted;
    private Instant nextWriteAt = Instant.EPOCH;
    private Instant nextRefreshAt = Instant.EPOCH;
    private Instant startedAt = Instant.EPOCH;
    private Instant confirmedAt = Instant.EPOCH;
    private Instant notBefore = Instant.EPOCH;

    /** Creates a log that is loaded when the first message arrives. */
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

    /** Takes a claim request; its reply comes under the returned ticket. */
    public long submit(ClaimRequest request, String from) {
        Instant now = clock.instant();
        return queue.add(request, Id128.of(request.keyHash()), from, now, now, request.deadline());
    }

    /** Takes an outcome; its reply comes under the returned ticket. */
    public long submit(ClaimUpdate update, String from) {
        Instant now = clock.instant();
        Instant writeBy = now.plus(settings.updateDelay());
        Id128 key = Id128.of(update.keyHash());
        return queue.add(update, key, from, now, writeBy, now.plus(UPDATE_PATIENCE));
    }

    /** Takes a look-up; its reply comes under the returned ticket. */
    public long submit(ClaimLookup lookup, Instant deadline) {
        Instant now = clock.instant();
        return queue.add(lookup, Id128.of(lookup.keyHash()), "", now, now, deadline);
    }

    /** Loads the log before the first message arrives. */
    public void load() {
        wanted = true;
    }

    /** Returns and forgets the replies that are due. */
    public List<ClaimLogReply> takeSettled() {
        return queue.takeSettled();
    }

    /** Returns the number of sealed records in the index. */
    public int indexedRecords() {
        return content.index().size();
    }

    /** Returns the operation to perform now. */
    public LogOperation next() {
        Preconditions.checkInvariant(current == null, "the outcome of an operation is missing");
        Instant now = clock.instant();
        queue.expire(now);
        if (now.isBefore(notBefore)) {
            return new LogOperation.Pause(notBefore);
        }
        return switch (phase) {
            case UNLOADED -> queue.isEmpty() && !wanted ? new LogOperation.Idle() : readHead(now);
            case IN_DOUBT -> readHead(now);
            case LOADING -> loadSegments(now);
            case READY -> decide(now);
            case SEALING, WRITING -> write(now);
        };
    }

    private LogOperation start(LogOperation operation) {
        current = operation;
        startedAt = clock.instant();
        return operation;
    }

    private LogOperation readHead(Instant now) {
        return start(new LogOperation.ReadHead(now.plus(settings.operationTimeout())));
    }

    private LogOperation loadSegments(Instant now) {
        List<Long> missing = content.missing();
        if (missing.isEmpty()) {
            phase = Phase.READY;
            return decide(now);
        }
        return readSegments(missing, now);
    }

    private LogOperation readSegments(List<Long> numbers, Instant now) {
        List<Long> some = numbers.subList(0, Math.min(PARALLEL_READS, numbers.size()));
        return start(
                new LogOperation.ReadSegments(
                        List.copyOf(some), now.plus(settings.operationTimeout())));
    }

    private LogOperation decide(Instant now) {
        if (now.isBefore(nextWriteAt) && (!queue.isEmpty() || isCleaningDue(now))) {
            return new LogOperation.Pause(nextWriteAt);
        }
        if (queue.isEmpty()) {
            content.index().closeAll();
            conflicts.reset();
            return clean(now);
        }
        BatchPlan plan = new BatchPlan(content, queue.waiting(), confirmedAt, now);
        queue.settle(plan.answered);
        queue.keep(plan.entries, plan.waiting);
        if (plan.isDue(now)) {
            return isSealingDue() ? startSealing(now) : startWriting(plan, now);
        }
        if (!plan.needed.isEmpty()) {
            return readSegments(List.copyOf(plan.needed), now);
        }
        if (plan.stale) {
            return refresh(now);
        }
        return queue.isEmpty() ? clean(now) : new LogOperation.Pause(queue.earliestWrite());
    }

    /** Makes sure that no other owner has written since the waiting messages arrived. */
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
        orphans.add(content.version());
        phase = Phase.SEALING;
        return write(now);
    }

    private LogOperation startWriting(BatchPlan plan, Instant now) {
        Id128 token = Id128.random(random);
        TreeSet<Long> unlisted = new TreeSet<>(orphans);
        unlisted.remove(content.version());
        LogHead head = content.next(token, plan.changes, sealed, unlisted, deleted, now);
        batch =
                new Batch(
                        token,
                        content.version(),
                        head,
                        ClaimCodec.encodeHead(head),
                        plan.changes.size(),
                        plan.entries,
                        plan.replies);
        queue.keep(plan.waiting, List.of());
        phase = Phase.WRITING;
        return write(now);
    }

    /** Sends the write of this phase, or sends it again. */
    private LogOperation write(Instant now) {
        if (now.isBefore(nextWriteAt)) {
            return new LogOperation.Pause(nextWriteAt);
        }
        nextWriteAt = now.plus(settings.writeInterval());
        Instant deadline = now.plus(settings.operationTimeout());
        if (phase == Phase.SEALING && segment != null) {
            return start(new LogOperation.WriteSegment(content.version(), segment, deadline));
        }
        Batch writing = batch();
        return start(
                new LogOperation.WriteHead(writing.expectedVersion(), writing.value(), deadline));
    }

    private boolean isCleaningDue(Instant now) {
        return !undeleted().isEmpty() || !content.trimmable(now).isEmpty();
    }

    private List<Long> undeleted() {
        return content.head().dropped().stream().filter(n -> !deleted.contains(n)).toList();
    }

    /** Deletes a dropped segment, or trims the log, or waits until it can be trimmed. */
    private LogOperation clean(Instant now) {
        List<Long> undeleted = undeleted();
        if (!undeleted.isEmpty()) {
            nextWriteAt = now.plus(settings.writeInterval());
            return start(
                    new LogOperation.DeleteSegment(
                            undeleted.get(0), now.plus(settings.operationTimeout())));
        }
        if (!content.trimmable(now).isEmpty()) {
            return startWriting(new BatchPlan(content, List.of(), confirmedAt, now), now);
        }
        return content.head().segments().stream()
                .map(SegmentInfo::latestRememberUntil)
                .min(Instant::compareTo)
                .<LogOperation>map(LogOperation.Pause::new)
                .orElseGet(LogOperation.Idle::new);
    }

    /** Takes the outcome of {@link LogOperation.ReadHead}. */
    public void onHeadRead(Result<Optional<VersionedValue>> outcome) {
        finish(LogOperation.ReadHead.class);
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
                    case Result.Ok<LogHead>(var read) -> onHead(version, read);
                }
            }
        }
    }

    private void onHead(long version, LogHead head) {
        failures.reset();
        if (batch != null) {
            boolean written = head.batches().contains(batch.token());
            Preconditions.checkInvariant(
                    !written || version > batch.expectedVersion(), "a batch before its write");
            listener.onResolved(written);
            requeue();
        }
        adopt(version, head);
        confirmedAt = startedAt;
        phase = Phase.LOADING;
    }

    /** Takes the outcomes of {@link LogOperation.ReadSegments}, in the order of its numbers. */
    public void onSegmentsRead(List<Result<Optional<VersionedValue>>> outcomes) {
        List<Long> numbers = finish(LogOperation.ReadSegments.class).numbers();
        boolean failed = false;
        boolean gone = false;
        for (int i = 0; i < numbers.size(); i++) {
            long number = numbers.get(i);
            switch (outcomes.get(i)) {
                case Result.Err<Optional<VersionedValue>> err -> failed = true;
                case Result.Ok<Optional<VersionedValue>>(var found) -> {
                    gone |= found.isEmpty();
                    failed |= found.isPresent() && !read(number, found.get().value());
                }
            }
        }
        if (gone) {
            // Another owner has trimmed it, so the head is out of date.
            phase = Phase.UNLOADED;
        }
        if (failed || gone) {
            onFailure();
        } else {
            failures.reset();
        }
    }

    private boolean read(long number, Bytes value) {
        Result<List<ClaimRecord>> records = ClaimCodec.decodeSegment(value);
        if (records instanceof Result.Ok<List<ClaimRecord>>(var list)) {
            if (phase == Phase.LOADING) {
                content.index().add(number, list);
            } else {
                content.index().open(number, list);
            }
        }
        return records.isOk();
    }

    /** Takes the outcome of {@link LogOperation.WriteHead}. */
    public void onHeadWritten(Result<Long> outcome) {
        finish(LogOperation.WriteHead.class);
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
                version > written.expectedVersion(), "a write did not raise the version");
        failures.reset();
        conflicts.reset();
        if (sealed) {
            content.index().add(content.version(), content.head().records());
            listener.onSeal();
        }
        int trimmed = content.head().segments().size() + (sealed ? 1 : 0);
        batch = null;
        adopt(version, written.head());
        confirmedAt = startedAt;
        listener.onWrite(written.changes());
        listener.onTrim(trimmed - written.head().segments().size());
        checkGrants(written);
        queue.settle(written.replies());
        phase = Phase.READY;
    }

    /** A grant may be given only for a claim that is recorded in the written head. */
    private void checkGrants(Batch written) {
        for (int i = 0; i < written.entries().size(); i++) {
            ClaimReply reply = written.replies().get(i).reply();
            if (reply.outcome() == Outcome.GRANTED) {
                ClaimRecord record = content.find(written.entries().get(i).key(), List.of());
                Preconditions.checkInvariant(
                        record != null
                                && record.token().toBytes().equals(reply.token())
                                && record.state() == ClaimState.CLAIMED,
                        "a grant without its record");
            }
        }
    }

    /** Takes the outcome of {@link LogOperation.WriteSegment}. */
    public void onSegmentWritten(Result<Long> outcome) {
        finish(LogOperation.WriteSegment.class);
        switch (outcome) {
            case Result.Ok<Long> ok -> onSealed();
            // It exists, and every owner writes the same content under this number.
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

    /** Takes the outcome of {@link LogOperation.DeleteSegment}. */
    public void onSegmentDeleted(Result<Long> outcome) {
        long number = finish(LogOperation.DeleteSegment.class).number();
        switch (outcome) {
            case Result.Ok<Long> ok -> deleted.add(number);
            case Result.Err<Long>(var failure) when failure.kind() == FailureKind.CONFLICT ->
                    deleted.add(number);
            case Result.Err<Long> err -> onFailure();
        }
    }

    private void adopt(long version, LogHead head) {
        if (version != content.version()) {
            sealed = false;
            segment = null;
        }
        content.adopt(version, head);
        head.segments().forEach(info -> orphans.remove(info.number()));
        orphans.removeAll(head.dropped());
        deleted.retainAll(head.dropped());
    }

    private void requeue() {
        queue.keep(batch().entries(), queue.waiting());
        batch = null;
    }

    private void onFailure() {
        listener.onFailure();
        notBefore = clock.instant().plus(failures.next());
        if (failures.attempts() > FAILURES_TOLERATED) {
            queue.refuseAll();
            refuseBatch();
        }
    }

    /** The write stays in doubt, but nobody waits for it any longer. */
    private void refuseBatch() {
        if (batch != null) {
            queue.refuse(batch.entries());
            batch = batch.withoutEntries();
        }
    }

    private Batch batch() {
        return Preconditions.checkPresent(batch, "no write is under way");
    }

    private <T extends LogOperation> T finish(Class<T> type) {
        Preconditions.checkInvariant(type.isInstance(current), "an outcome without its operation");
        LogOperation finished = Preconditions.checkPresent(current, "no operation is under way");
        current = null;
        return type.cast(finished);
    }
}
