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
 * Enforces the limits of catalogue entries across all nodes.
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
 * <p>{@link org.carobdoor.internal.limits.OvershootBound} documents how far a limit can be
 * exceeded.
 */
public final class LimitService implements AutoCloseable {
    /** The home node is about 1 ms away. After this timeout a node continues with its own share. */
    private static final Duration ASK_TIMEOUT = Duration.ofMillis(100);

    private static final Duration RENEWAL_INTERVAL = Duration.ofSeconds(1);

    private final PeerNetwork network;
    private final MembershipView membership;
    private final InstantSource clock;
    private final LimitLookup limits;
    private final HomeLimits homeLimits;
    private final Map<LimitName, NodeLimit> nodeLimits = new ConcurrentHashMap<>();
    private final Thread renewalThread;

    private LimitService(
            PeerNetwork network,
            MembershipView membership,
            InstantSource clock,
            LimitLookup limits) {
        this.network = network;
        this.membership = membership;
        this.clock = clock;
        this.limits = limits;
        this.homeLimits = new HomeLimits(membership, clock, limits);
        this.renewalThread = Thread.ofVirtual().name("limit-renewals").unstarted(this::renew);
    }

    /** Creates the service and registers its message handler. */
    public static LimitService start(
            PeerNetwork network,
            MembershipView membership,
            InstantSource clock,
            LimitLookup limits) {
        LimitService service = new LimitService(network, membership, clock, limits);
        network.handle(AllotmentRequest.class, service.homeLimits::grant);
        membership.onChange(member -> service.homeLimits.refresh());
        service.homeLimits.refresh();
        service.renewalThread.start();
        return service;
    }

    /**
     * Starts a request of {@code entry}. If the request is admitted, {@link #end} must be called
     * after it.
     *
     * @return the limit that refuses the request, or empty if the request is admitted
     */
    public Optional<LimitKind> start(String entry, Instant deadline) throws InterruptedException {
        EntryLimits amounts = limits.find(entry).orElse(new EntryLimits(0, 0, 0, 0));
        Instant askUntil = clock.instant().plus(ASK_TIMEOUT.multipliedBy(2));
        Instant until = askUntil.isBefore(deadline) ? askUntil : deadline;
        // In-flight slots are taken last because they would have to be returned on refusal.
        for (LimitKind kind : EnumSet.allOf(LimitKind.class)) {
            LimitName name = new LimitName(entry, kind);
            long amount = name.amount(amounts);
            boolean allowed =
                    amount == 0
                            ? countWithoutLimit(name)
                            : nodeLimit(name).use(1, amount, live(), until);
            if (!allowed) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }

    /** Charges the usage of a request beyond the one unit charged at its start. */
    public void charge(String entry, long tokens, double spend) {
        EntryLimits amounts = limits.find(entry).orElse(new EntryLimits(0, 0, 0, 0));
        if (amounts.tokensPerMinute() > 0) {
            nodeLimit(new LimitName(entry, LimitKind.TOKENS_PER_MINUTE))
                    .charge(Math.max(0, tokens - 1));
        }
        if (amounts.spendPerDay() > 0) {
            long micros = (long) (spend * LimitName.MICROS_PER_UNIT);
            nodeLimit(new LimitName(entry, LimitKind.SPEND_PER_DAY))
                    .charge(Math.max(0, micros - 1));
        }
    }

    /** Ends a request that {@link #start} admitted. */
    public void end(String entry) {
        nodeLimit(new LimitName(entry, LimitKind.MAX_IN_FLIGHT)).end();
    }

    /**
     * Counts requests in flight even without a limit, because a limit can be set while they run.
     */
    private boolean countWithoutLimit(LimitName name) {
        if (name.kind() == LimitKind.MAX_IN_FLIGHT) {
            nodeLimit(name).startWithoutLimit();
        }
        return true;
    }

    private NodeLimit nodeLimit(LimitName name) {
        return nodeLimits.computeIfAbsent(
                name, n -> new NodeLimit(n.kind(), clock, wanted -> requestAllotment(n, wanted)));
    }

    private Result<AllotmentReply> requestAllotment(LimitName name, long wanted) {
        NodeId node = homeLimits.homeOf(name);
        AllotmentRequest request = new AllotmentRequest(name.toString(), wanted);
        if (node.equals(membership.self().id())) {
            return Result.ok(homeLimits.grant(node, request));
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
        Set<Map.Entry<LimitName, NodeLimit>> all = nodeLimits.entrySet();
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
        renewalThread.interrupt();
    }
}
