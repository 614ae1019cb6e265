package org.carobdoor.internal.resume;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Decides which version of a service may continue a stream that a caller takes up again.
 *
 * <p>What two versions write does not fit together, so a stream goes on only at the version that
 * began it. A node remembers the versions of the streams that it started. The nodes record them in
 * the store while several versions serve; such a record outlives its node, and its presence shows
 * that several versions served. A stream whose version cannot be told is not continued.
 *
 * <p>Not thread-safe.
 */
public final class StreamVersions {
    /** How long a service counts as mixed after it had several versions. */
    public static final long MIXED_MEMORY_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** Longest time from the start of a stream until it is taken up again. */
    static final long MAX_STREAM_NANOS = TimeUnit.SECONDS.toNanos(20);

    private static final class Start {
        private final StreamStart start;
        private long keepUntilNanos;
        private boolean published;

        Start(StreamStart start, long keepUntilNanos) {
            this.start = start;
            this.keepUntilNanos = keepUntilNanos;
        }
    }

    private final VersionSightings sightings = new VersionSightings();
    private final Map<String, Start> starts = new HashMap<>();
    private final boolean firstStart;
    private @Nullable Set<String> publishedServices;

    private StreamVersions(boolean firstStart) {
        this.firstStart = firstStart;
    }

    /**
     * Returns an instance that knows no stream.
     *
     * @param firstStart whether no node has served before this process started
     */
    public static StreamVersions create(boolean firstStart) {
        return new StreamVersions(firstStart);
    }

    /** Records the versions of the endpoints of a service that are listed now. */
    public void recordListed(String service, Set<String> versions, long nowNanos) {
        sightings.record(service, versions, nowNanos);
    }

    /**
     * Records that the stream of a request is sent to a version.
     *
     * @param keepUntilNanos when the caller stops waiting for the stream
     */
    public void recordSent(String id, StreamStart start, long keepUntilNanos) {
        Start before = starts.get(id);
        if (before != null && before.start.equals(start)) {
            before.keepUntilNanos = Math.max(before.keepUntilNanos, keepUntilNanos);
        } else {
            starts.put(id, new Start(start, keepUntilNanos));
        }
    }

    /**
     * Returns the version that a request, which no endpoint has begun to answer, must keep to: a
     * record that may be in the store cannot be taken back in time.
     */
    public Optional<String> publishedVersion(String id) {
        return Optional.ofNullable(starts.get(id))
                .filter(s -> s.published)
                .map(s -> s.start.version());
    }

    /**
     * Takes over which services had several versions before this process started, so that it
     * records its streams as the nodes before it did.
     */
    public void recordStored(StoredStarts stored, long nowNanos) {
        stored.mixedServices().forEach(s -> sightings.recordMixed(s, nowNanos));
    }

    /**
     * Decides from what this node knows.
     *
     * @param id the request that brought the first event of the stream
     * @param current whether the directory of this node is up to date
     */
    public ResumeDecision decide(String id, String service, boolean current, long nowNanos) {
        Optional<String> own = ownVersion(id, service);
        if (own.isPresent()) {
            return new ResumeDecision.Only(own.get());
        }
        boolean observed =
                firstStart || sightings.isObservedFor(service, MAX_STREAM_NANOS, nowNanos);
        Optional<String> only = sightings.onlyVersion(service, MAX_STREAM_NANOS, nowNanos);
        return current && observed && only.isPresent()
                ? new ResumeDecision.Only(only.get())
                : new ResumeDecision.AskStore();
    }

    /**
     * Decides with the records in the store, read after the request arrived.
     *
     * @param oldestStartAgeMillis how long ago the first of the listed endpoints of the service
     *     started; empty if unknown
     */
    public ResumeDecision decide(
            String id,
            String service,
            StoredStarts stored,
            OptionalLong oldestStartAgeMillis,
            long nowNanos) {
        Optional<String> known = ownVersion(id, service).or(() -> stored.versionOf(id, service));
        if (known.isPresent()) {
            return new ResumeDecision.Only(known.get());
        }
        Optional<String> only = sightings.onlyVersion(service, MAX_STREAM_NANOS, nowNanos);
        boolean servedBefore =
                oldestStartAgeMillis.isPresent()
                        && TimeUnit.MILLISECONDS.toNanos(oldestStartAgeMillis.getAsLong())
                                >= MAX_STREAM_NANOS;
        boolean unmixed = !stored.mixedServices().contains(service);
        return only.isPresent() && unmixed && servedBefore
                ? new ResumeDecision.Only(only.get())
                : new ResumeDecision.Unknown();
    }

    private Optional<String> ownVersion(String id, String service) {
        return Optional.ofNullable(starts.get(id))
                .filter(s -> s.start.service().equals(service))
                .map(s -> s.start.version());
    }

    /** Returns the number of streams that are remembered. */
    int size() {
        return starts.size();
    }

    /** Returns whether the node has records to keep in the store. */
    public boolean isAnyMixed(long nowNanos) {
        return sightings.services().stream()
                .anyMatch(s -> sightings.isMixed(s, MIXED_MEMORY_NANOS, nowNanos));
    }

    /** Returns the records to write to the store now; empty if it has them. */
    public Optional<StoredStarts> takeUnpublished(long nowNanos) {
        Set<String> mixed = new HashSet<>();
        for (String s : sightings.services()) {
            if (sightings.isMixed(s, MIXED_MEMORY_NANOS, nowNanos)) {
                mixed.add(s);
            }
        }
        Map<String, StreamStart> records = new HashMap<>();
        boolean changed = !mixed.equals(publishedServices) && !mixed.isEmpty();
        for (Map.Entry<String, Start> e : starts.entrySet()) {
            Start s = e.getValue();
            if (mixed.contains(s.start.service())) {
                changed |= !s.published;
                s.published = true;
                records.put(e.getKey(), s.start);
            }
        }
        if (!changed) {
            return Optional.empty();
        }
        publishedServices = mixed;
        return Optional.of(new StoredStarts(records, mixed));
    }

    /** Records that the last records taken may not be in the store. */
    public void publishFailed() {
        publishedServices = null;
    }

    /** Forgets the streams whose callers no longer wait. */
    public void expire(long nowNanos) {
        for (Iterator<Start> it = starts.values().iterator(); it.hasNext(); ) {
            if (nowNanos - it.next().keepUntilNanos > 0) {
                it.remove();
            }
        }
    }
}
