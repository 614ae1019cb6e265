package org.carobdoor.node.claims;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.carobdoor.ClientAccount;
import org.carobdoor.Failure;
import org.carobdoor.FailureKind;
import org.carobdoor.KeyValueStore;
import org.carobdoor.MembershipView;
import org.carobdoor.PeerNetwork;
import org.carobdoor.Result;
import org.carobdoor.internal.Preconditions;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.internal.claims.ClaimKey;
import org.carobdoor.internal.claims.ClaimVerdict;
import org.carobdoor.internal.claims.Claimant;
import org.carobdoor.internal.claims.Id128;
import org.carobdoor.internal.claims.KeyPolicy;
import org.carobdoor.message.ClaimLookup;
import org.carobdoor.message.ClaimReply;
import org.carobdoor.message.ClaimRequest;
import org.carobdoor.message.ClaimUpdate;

/**
 * Claims calls that must not be repeated, so that each runs at most once (P4).
 *
 * <pre>{@code
 * ClaimVerdict verdict = claims.claim(account, entry, key, deadline);
 * if (verdict instanceof ClaimVerdict.Granted(var token)) {
 *     if (!claims.beginSend(token)) {
 *         claims.release(token);                      // past the deadline: not_run
 *     } else {
 *         ... send, once ...
 *         claims.markDone(token, status, answer);     // or claims.abandon(token): unknown
 *     }
 * }
 * }</pre>
 *
 * <p>Every granted token must end in exactly one of {@link #markDone}, {@link #release} and {@link
 * #abandon}. This class is thread-safe. Methods with a deadline block until then at the latest.
 */
public final class ClaimService implements AutoCloseable {
    private static final Duration LOOKUP_TIMEOUT = Duration.ofMillis(500);

    private final ClaimSettings settings;
    private final MembershipView membership;
    private final InstantSource clock;
    private final RandomGenerator random;
    private final ClaimListener listener;
    private final OwnedLogs logs;
    private final OwnerClient owners;
    private final ClaimDriver driver;
    private final AnswerReplicator answers;
    private final ExecutorService reportExecutor = Executors.newVirtualThreadPerTaskExecutor();
    private final Map<Id128, ActiveClaim> active = new ConcurrentHashMap<>();

    private ClaimService(
            ClaimSettings settings,
            KeyValueStore store,
            PeerNetwork network,
            MembershipView membership,
            InstantSource clock,
            RandomGenerator random,
            ClaimListener listener) {
        this.settings = settings;
        this.membership = membership;
        this.clock = clock;
        this.random = random;
        this.listener = listener;
        LogOwners ranking = new LogOwners(membership);
        this.logs = new OwnedLogs(store, ranking, settings, clock, random, listener);
        this.owners = new OwnerClient(membership.self().id(), network, ranking, logs);
        this.driver = new ClaimDriver(owners, clock);
        AnswerStore kept = new AnswerStore(clock, settings.answerBytes(), listener);
        this.answers = new AnswerReplicator(kept, network, membership);
    }

    /**
     * Creates the service, registers its message handlers, and starts the logs of this node.
     *
     * @param random must be thread-safe and unpredictable, such as {@link
     *     java.security.SecureRandom}
     */
    public static ClaimService start(
            ClaimSettings settings,
            KeyValueStore store,
            PeerNetwork network,
            MembershipView membership,
            InstantSource clock,
            RandomGenerator random,
            ClaimListener listener) {
        ClaimService service =
                new ClaimService(settings, store, network, membership, clock, random, listener);
        OwnedLogs logs = service.logs;
        network.handle(ClaimRequest.class, (from, m) -> logs.ask(m, from.value()));
        network.handle(ClaimUpdate.class, (from, m) -> logs.ask(m, from.value()));
        network.handle(ClaimLookup.class, (from, m) -> logs.ask(m, from.value()));
        service.answers.register();
        membership.onChange(member -> logs.refresh());
        logs.start();
        return service;
    }

    /** Claims the call with {@code key} for one request; blocks until there is a verdict. */
    public ClaimVerdict claim(
            ClientAccount account, CatalogueEntry entry, String key, Instant deadline)
            throws InterruptedException {
        Instant begin = clock.instant();
        ClaimVerdict verdict =
                switch (settings.keys().check(key, entry.datedKeys(), begin)) {
                    case KeyPolicy.Verdict.Malformed(var detail) -> new ClaimVerdict.BadKey(detail);
                    case KeyPolicy.Verdict.TooOld old -> new ClaimVerdict.TooOld();
                    case KeyPolicy.Verdict.Accepted(var rememberUntil) ->
                            claim(
                                    ClaimKey.hash(account, entry.name(), key),
                                    rememberUntil,
                                    deadline);
                };
        listener.onVerdict(verdict, Duration.between(begin, clock.instant()));
        return verdict;
    }

    private ClaimVerdict claim(Id128 key, Instant rememberUntil, Instant deadline)
            throws InterruptedException {
        Optional<StoredAnswer> answer = answers.findLocal(key);
        if (answer.isPresent()) {
            String self = membership.self().id().value();
            return new ClaimVerdict.Done(answer.get().status(), self);
        }
        int log = ClaimKey.log(key);
        Id128 token = Id128.random(random);
        ClaimRequest request =
                new ClaimRequest(log, key.toBytes(), token.toBytes(), rememberUntil, deadline);
        ActiveClaim claim = new ActiveClaim(new Claimant(request, clock, random), log);
        boolean granted = false;
        try {
            ClaimVerdict verdict = driver.decide(claim);
            granted = verdict instanceof ClaimVerdict.Granted;
            if (granted) {
                active.put(token, claim);
            }
            if (verdict instanceof ClaimVerdict.Held(var holder)) {
                return findUnreported(key, holder, deadline)
                        .<ClaimVerdict>map(a -> new ClaimVerdict.Done(a.status(), holder))
                        .orElse(verdict);
            }
            return verdict;
        } finally {
            if (!granted) {
                releaseInBackground(claim);
            }
        }
    }

    /**
     * Finds the answer of a call that the owner of its key takes for open: {@code holder} stores an
     * answer before the caller gets it, and reports the outcome to the owner after that.
     */
    private Optional<StoredAnswer> findUnreported(Id128 key, String holder, Instant deadline) {
        return answers.find(key, holder, earlier(clock.instant().plus(LOOKUP_TIMEOUT), deadline));
    }

    /**
     * Checks whether the call may be sent. Must be called immediately before the first byte is
     * sent.
     *
     * @return false if the deadline has passed; then nothing may be sent
     */
    public boolean beginSend(Id128 token) {
        return findActive(token).withLock(Claimant::beginSend);
    }

    /** Reverts {@link #beginSend} after the connection was refused before any byte was sent. */
    public void notSent(Id128 token) {
        findActive(token)
                .withLock(
                        claimant -> {
                            claimant.notSent();
                            return true;
                        });
    }

    /** Records that the call was answered, and stores the answer for repeated calls. */
    public void markDone(Id128 token, StoredAnswer answer) {
        ActiveClaim claim = removeActive(token);
        Id128 key = claim.withLock(Claimant::key);
        claim.withLock(
                claimant -> {
                    claimant.done(answer.status());
                    return true;
                });
        answers.put(key, answer, clock.instant().plus(settings.answerRetention()));
        reportInBackground(claim);
    }

    /**
     * Releases the claim of a call that was not sent and will not be; its key can be claimed again.
     */
    public void release(Id128 token) {
        releaseInBackground(removeActive(token));
    }

    /** Ends a claim whose call was sent and not answered; its key stays claimed. */
    public void abandon(Id128 token) {
        removeActive(token);
    }

    /** Looks up what is recorded for {@code key}, without claiming it. */
    public Result<KeyOutcome> outcome(
            ClientAccount account, String entry, String key, Instant deadline) {
        Id128 hash = ClaimKey.hash(account, entry, key);
        Optional<StoredAnswer> kept = answers.findLocal(hash);
        if (kept.isPresent()) {
            String self = membership.self().id().value();
            return Result.ok(new KeyOutcome.Done(kept.get().status(), self));
        }
        ClaimLookup lookup = new ClaimLookup(ClaimKey.log(hash), hash.toBytes());
        Failure last = unavailable("the deadline passed before an owner was queried");
        for (int candidate = 0; clock.instant().isBefore(deadline) && candidate < 4; candidate++) {
            Instant until = earlier(clock.instant().plus(LOOKUP_TIMEOUT), deadline);
            switch (owners.ask(lookup.log(), candidate, lookup, until)) {
                case Result.Err<ClaimReply>(var failure) -> last = failure;
                case Result.Ok<ClaimReply>(var reply) -> {
                    Optional<KeyOutcome> outcome = outcome(reply);
                    if (outcome.isPresent()) {
                        return Result.ok(withUnreported(hash, outcome.get(), deadline));
                    }
                    last = unavailable("the owner replied " + reply.outcome());
                }
            }
        }
        return Result.err(last);
    }

    private KeyOutcome withUnreported(Id128 key, KeyOutcome recorded, Instant deadline) {
        if (recorded instanceof KeyOutcome.Open(var holder)) {
            return findUnreported(key, holder, deadline)
                    .<KeyOutcome>map(a -> new KeyOutcome.Done(a.status(), holder))
                    .orElse(recorded);
        }
        return recorded;
    }

    private static Optional<KeyOutcome> outcome(ClaimReply reply) {
        return switch (reply.outcome()) {
            case DONE -> Optional.of(new KeyOutcome.Done(reply.status(), reply.holder()));
            case HELD, GRANTED -> Optional.of(new KeyOutcome.Open(reply.holder()));
            case RELEASED, NOT_RECORDED, TOO_OLD -> Optional.of(new KeyOutcome.NotRecorded());
            case NOT_OWNER, UNAVAILABLE -> Optional.empty();
        };
    }

    /**
     * Finds the stored answer of a call that is done.
     *
     * @param holder the node that the verdict or the outcome named
     */
    public Optional<StoredAnswer> answer(
            ClientAccount account, String entry, String key, String holder, Instant deadline) {
        return answers.find(ClaimKey.hash(account, entry, key), holder, deadline);
    }

    private ActiveClaim findActive(Id128 token) {
        ActiveClaim claim = active.get(token);
        Preconditions.checkArgument(claim != null, "no active claim has this token");
        return Preconditions.checkPresent(claim, "no active claim");
    }

    private ActiveClaim removeActive(Id128 token) {
        ActiveClaim claim = findActive(token);
        active.remove(token);
        return claim;
    }

    private void releaseInBackground(ActiveClaim claim) {
        claim.withLock(
                claimant -> {
                    claimant.release();
                    return true;
                });
        reportInBackground(claim);
    }

    private void reportInBackground(ActiveClaim claim) {
        if (reportExecutor.isShutdown()) {
            listener.onReportLost();
            return;
        }
        reportExecutor.execute(
                () -> {
                    try {
                        driver.report(claim);
                    } catch (InterruptedException e) {
                        listener.onReportLost();
                        Thread.currentThread().interrupt();
                    }
                });
    }

    private static Instant earlier(Instant a, Instant b) {
        return a.isBefore(b) ? a : b;
    }

    private static Failure unavailable(String detail) {
        return new Failure(FailureKind.NOT_DONE, "claims.outcome", "owner", detail);
    }

    /** Stops the logs after waiting up to two seconds for pending reports. */
    @Override
    public void close() {
        reportExecutor.shutdown();
        try {
            if (!reportExecutor.awaitTermination(2, TimeUnit.SECONDS)) {
                reportExecutor.shutdownNow();
            }
        } catch (InterruptedException e) {
            reportExecutor.shutdownNow();
            Thread.currentThread().interrupt();
        }
        logs.close();
    }
}
