package org.carobdoor.node.limits;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.EnumSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.carobdoor.FailureKind;
import org.carobdoor.MembershipView;
import org.carobdoor.NodeId;
import org.carobdoor.PeerNetwork;
import org.carobdoor.Result;
import org.carobdoor.internal.catalogue.EntryLimits;
import org.carobdoor.internal.limits.LimitKind;
import org.carobdoor.message.AllotmentReply;
import org.carobdoor.message.AllotmentRequest;

/**
 * Enforces the limits of catalogue entries over all nodes.
 *
 * <pre>{@code
 * Optional<LimitKind> refusedBy = limits.start("lot-drafts", deadline);
 * if (refusedBy.isEmpty()) {
 *     try {
 *         ... serve ...
 *         limits.charge("lot-drafts", tokens, spend);
 *     } finally {
 *         limits.end("lot-drafts");
 *     }
 * }
 * }</pre>
 *
 * <p>{@link org.carobdoor.internal.limits.OvershootBound} states how exact that is.
 */
public final class LimitService implements AutoCloseable {
    /** The home is a millisecond away; a node that waits longer goes on with its own share. */
    private static final Duration ASK_TIMEOUT = Duration.ofMillis(100);

    private static final Duration RENEWAL_INTERVAL = Duration.ofSeconds(1);

    private final PeerNetwork network;
    private final MembershipView membership;
    private final InstantSource clock;
    private final LimitLookup limits;
    private final HomeLimits home;
    private final Map<LimitName, NodeLimit> shares = new ConcurrentHashMap<>();
    private final Thread renewals;

    private LimitService(
            PeerNetwork network,
            MembershipView membership,
            InstantSource clock,
            LimitLookup limits) {
        this.network = network;
        this.membership = membership;
        this.clock = clock;
        this.limits = limits;
        this.home = new HomeLimits(membership, clock, limits);
        this.renewals = Thread.ofVirtual().name("limit-renewals").unstarted(this::renew);
    }

    /** Creates the service and registers its message handler. */
    public static LimitService start(
            PeerNetwork network,
            MembershipView membership,
            InstantSource clock,
            LimitLookup limits) {
        LimitService service = new LimitService(network, membership, clock, limits);
        network.handle(AllotmentRequest.class, service.home::grant);
        membership.onChange(member -> service.home.refresh());
        service.home.refresh();
        service.renewals.start();
        return service;
    }

    /**
     * Starts a request of {@code entry}; if it may run, {@link #end} must follow.
     *
     * @return the limit that refuses the request, or nothing if it may run
     */
    public Optional<LimitKind> start(String entry, Instant deadline) throws InterruptedException {
        EntryLimits amounts = limits.find(entry).orElse(new EntryLimits(0, 0, 0, 0));
        Instant soon = clock.instant().plus(ASK_TIMEOUT.multipliedBy(2));
        Instant until = soon.isBefore(deadline) ? soon : deadline;
        // Slots come last, since they would have to be given back.
        for (LimitKind kind : EnumSet.allOf(LimitKind.class)) {
            LimitName name = new LimitName(entry, kind);
            long amount = name.amount(amounts);
            boolean allowed =
                    amount == 0
                            ? countWithoutLimit(name)
                            : share(name).use(1, amount, live(), until);
            if (!allowed) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }

    /** Counts what a request used beyond the one unit taken at its start. */
    public void charge(String entry, long tokens, double spend) {
        EntryLimits amounts = limits.find(entry).orElse(new EntryLimits(0, 0, 0, 0));
        if (amounts.tokensPerMinute() > 0) {
            share(new LimitName(entry, LimitKind.TOKENS_PER_MINUTE))
                    .charge(Math.max(0, tokens - 1));
        }
        if (amounts.spendPerDay() > 0) {
            long micros = (long) (spend * LimitName.MICROS);
            share(new LimitName(entry, LimitKind.SPEND_PER_DAY)).charge(Math.max(0, micros - 1));
        }
    }

    /** Ends a request that {@link #start} let run. */
    public void end(String entry) {
        share(new LimitName(entry, LimitKind.MAX_IN_FLIGHT)).end();
    }

    /** A limit can be set while requests run, so those in flight are always counted. */
    private boolean countWithoutLimit(LimitName name) {
        if (name.kind() == LimitKind.MAX_IN_FLIGHT) {
            share(name).startWithoutLimit();
        }
        return true;
    }

    private NodeLimit share(LimitName name) {
        return shares.computeIfAbsent(
                name, n -> new NodeLimit(n.kind(), clock, wanted -> ask(n, wanted)));
    }

    private Result<AllotmentReply> ask(LimitName name, long wanted) {
        NodeId node = home.homeOf(name);
        AllotmentRequest request = new AllotmentRequest(name.toString(), wanted);
        if (node.equals(membership.self().id())) {
            return Result.ok(home.grant(node, request));
        }
        return network.call(node, request, clock.instant().plus(ASK_TIMEOUT))
                .flatMap(
                        reply ->
                                reply instanceof AllotmentReply allotment
                                        ? Result.ok(allotment)
                                        : Result.err(
                                                FailureKind.UNKNOWN,
                                                "limits.ask",
                                                node.value(),
                                                "unexpected reply"));
    }

    private int live() {
        return Math.max(1, membership.live().size());
    }

    private void renew() {
        Set<Map.Entry<LimitName, NodeLimit>> all = shares.entrySet();
        while (!Thread.currentThread().isInterrupted()) {
            for (Map.Entry<LimitName, NodeLimit> share : all) {
                long amount =
                        limits.find(share.getKey().entry()).map(share.getKey()::amount).orElse(0L);
                if (share.getKey().kind() == LimitKind.MAX_IN_FLIGHT && amount > 0) {
                    share.getValue().renew();
                }
            }
            try {
                Thread.sleep(RENEWAL_INTERVAL);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    @Override
    public void close() {
        renewals.interrupt();
    }
}
