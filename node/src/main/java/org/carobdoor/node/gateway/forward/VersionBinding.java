package org.carobdoor.node.gateway.forward;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.carobdoor.internal.deployment.RouteKind;
import org.carobdoor.internal.directory.EndpointEntry;
import org.carobdoor.internal.placement.EndpointLoad;
import org.carobdoor.internal.request.CallerRequest;
import org.carobdoor.internal.resume.ResumeDecision;
import org.carobdoor.internal.resume.StoredStarts;
import org.carobdoor.internal.resume.StreamStart;
import org.carobdoor.internal.resume.StreamVersions;
import org.jspecify.annotations.Nullable;

/**
 * The software version that a request must keep to: that of the endpoint which sent the first event
 * of its stream, to this or to an earlier request of the caller. Confined to the event loop.
 */
final class VersionBinding {
    /** A node that began a stream has recorded it in the store within this time. */
    private static final long RECORD_DELAY_MILLIS = 450;

    /** Added to the time for which a caller waits, for a record to outlive its last attempt. */
    private static final long KEEP_MARGIN_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Least time left for which a second read of the records is awaited. */
    private static final long MIN_WAIT_MILLIS = 3 * RECORD_DELAY_MILLIS;

    /** Retry-After while the store does not answer, or another node may record the stream yet. */
    private static final long SOON_MILLIS = 400;

    /** Retry-After of a stream whose record would have appeared. */
    private static final long NEVER_MILLIS = 60_000;

    private final CallContext call;
    private final ForwardingState state;
    private final StreamVersions streams;
    private final boolean resumable;
    private @Nullable String version;
    private @Nullable String sentVersion;

    VersionBinding(CallContext call) {
        this.call = call;
        this.state = call.state();
        this.streams = state.streams();
        this.resumable = call.route().kind() == RouteKind.STREAMING && call.route().isRepeatable();
    }

    private boolean isTakeUp() {
        CallerRequest r = call.request();
        return resumable && (r.resumes().isPresent() || r.resumeAfter().isPresent());
    }

    private String streamId() {
        return call.request().resumes().orElse("");
    }

    /**
     * Determines the version of a request that takes up a stream, at once for any other. Runs
     * neither task if the request has ended meanwhile.
     *
     * @param onDetermined runs when the request may be sent
     * @param onUnknown runs if the version cannot be told, so that the request must not be sent,
     *     with the time in milliseconds after which it may be known
     */
    void determine(Runnable onDetermined, LongConsumer onUnknown) {
        if (!isTakeUp()) {
            onDetermined.run();
            return;
        }
        long now = System.nanoTime();
        state.recordVersions(call.service().name(), now);
        boolean current = state.isDirectoryCurrent();
        switch (streams.decide(streamId(), call.service().name(), current, now)) {
            case ResumeDecision.Only(String only) -> bind(only, "node", onDetermined);
            case ResumeDecision.AskStore a -> askStore(true, onDetermined, onUnknown);
            case ResumeDecision.Unknown u -> refuse("node", SOON_MILLIS, onUnknown);
        }
    }

    private void askStore(boolean first, Runnable onDetermined, LongConsumer onUnknown) {
        if (state.isStoreLost()) {
            refuse("no_answer", SOON_MILLIS, onUnknown);
            return;
        }
        state.streamRecords().read(stored -> handleRecords(stored, first, onDetermined, onUnknown));
    }

    private void handleRecords(
            Optional<StoredStarts> stored,
            boolean first,
            Runnable onDetermined,
            LongConsumer onUnknown) {
        if (call.exchange().isEnded()) {
            return;
        }
        boolean current = state.isDirectoryCurrent();
        if (stored.isPresent()
                && decide(stored.get(), current) instanceof ResumeDecision.Only(String only)) {
            bind(only, "store", onDetermined);
        } else if (first && mayBeKnownSoon(stored, current)) {
            askAgain(onDetermined, onUnknown);
        } else if (stored.isEmpty() || !current) {
            refuse("no_answer", SOON_MILLIS, onUnknown);
        } else {
            refuse("store", first ? SOON_MILLIS : NEVER_MILLIS, onUnknown);
        }
    }

    /**
     * Decides with the records in the store.
     *
     * @param current whether the endpoints are up to date; only a record of the stream counts
     *     otherwise
     */
    private ResumeDecision decide(StoredStarts stored, boolean current) {
        String service = call.service().name();
        return streams.decide(
                streamId(),
                service,
                stored,
                current ? oldestStartAgeMillis() : OptionalLong.empty(),
                System.nanoTime());
    }

    private OptionalLong oldestStartAgeMillis() {
        long now = state.clusterMillis();
        return state.endpoints().ofService(call.service().name()).stream()
                .mapToLong(e -> e.entry().startedAtMillis())
                .filter(started -> started > 0)
                .map(started -> now - started)
                .max();
    }

    /**
     * Returns whether a second look may tell the version: after connections to the store were
     * reset, or if another node may still record the stream.
     */
    private boolean mayBeKnownSoon(Optional<StoredStarts> stored, boolean current) {
        boolean reconnecting = (stored.isEmpty() || !current) && !state.isStoreLost();
        return call.remainingMillis(System.nanoTime()) > MIN_WAIT_MILLIS
                && (reconnecting || stored.filter(this::mayAppear).isPresent());
    }

    private boolean mayAppear(StoredStarts stored) {
        return !streamId().isEmpty() && stored.mixedServices().contains(call.service().name());
    }

    private void askAgain(Runnable onDetermined, LongConsumer onUnknown) {
        state.loop()
                .schedule(
                        () -> askStore(false, onDetermined, onUnknown),
                        RECORD_DELAY_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void bind(String only, String source, Runnable onDetermined) {
        version = only;
        log(only, source);
        onDetermined.run();
    }

    private void refuse(String source, long retryAfterMillis, LongConsumer onUnknown) {
        log("-", source);
        onUnknown.accept(retryAfterMillis);
    }

    private void log(String only, String source) {
        state.counters().recordResume(only.equals("-") ? "unknown" : source);
        state.log()
                .line("stream.resumed")
                .add("id", call.request().id())
                .add("resumes", streamId())
                .add("version", only)
                .add("source", source)
                .write();
    }

    /** Returns the endpoints that may get the request. */
    List<EndpointLoad> candidates(boolean toNewVersion, long nowNanos) {
        String service = call.service().name();
        Optional<String> required = required();
        return required.isEmpty()
                ? state.endpointsFor(service, toNewVersion, nowNanos)
                : state.endpoints()
                        .accepting(
                                service, e -> e.entry().version().equals(required.get()), nowNanos);
    }

    /** Returns whether {@code endpoint}, as it is now, may get the request. */
    boolean allows(EndpointEntry endpoint) {
        return required().map(v -> v.equals(endpoint.version())).orElse(true);
    }

    private Optional<String> required() {
        if (version != null) {
            return Optional.of(version);
        }
        return resumable ? streams.publishedVersion(call.request().id()) : Optional.empty();
    }

    /** Returns whether no endpoint of the version that the request must keep to is listed. */
    boolean isVersionGone() {
        return version != null
                && state.endpoints().ofService(call.service().name()).stream()
                        .noneMatch(e -> e.entry().version().equals(version));
    }

    /** Records that the request is being sent to {@code endpoint}. */
    void recordSent(EndpointEntry endpoint) {
        sentVersion = endpoint.version();
        if (resumable) {
            StreamStart start = new StreamStart(endpoint.service(), endpoint.version());
            long keepUntil = call.callerWaitsUntilNanos() + KEEP_MARGIN_NANOS;
            streams.recordSent(call.request().id(), start, keepUntil);
            call.request().resumes().ifPresent(id -> streams.recordSent(id, start, keepUntil));
        }
    }

    /** Records that the first event has arrived from the endpoint that the request was sent to. */
    void recordBegun() {
        if (version == null) {
            version = sentVersion;
        }
    }
}
