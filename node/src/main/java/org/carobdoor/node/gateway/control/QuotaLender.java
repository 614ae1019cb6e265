package org.carobdoor.node.gateway.control;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.carobdoor.ClientAccount;
import org.carobdoor.NodeId;
import org.carobdoor.internal.Rendezvous;
import org.carobdoor.internal.quota.AccountQuota;
import org.carobdoor.message.NodeStatus;
import org.carobdoor.message.QuotaLoanReply;
import org.carobdoor.message.QuotaLoanRequest;
import org.carobdoor.node.gateway.forward.AccountQuotas;
import org.carobdoor.node.gateway.forward.QuotaLoans;
import org.carobdoor.wire.TcpPeerNetwork;

/**
 * Borrows and lends quota within the availability zone. The lender of an account is the first node
 * of the zone by rendezvous hashing among those whose statuses arrive, so it is chosen without
 * messages. While two nodes disagree on it, one pool of the zone may be lent twice, which is within
 * the tolerance of the quotas. Must be used on the event loop.
 */
final class QuotaLender implements QuotaLoans {
    /** A small fraction of the latency objectives; a round trip in a zone takes milliseconds. */
    private static final long TIMEOUT_MILLIS = 100;

    private record Loan(
            AccountQuota quota, double units, Callback callback, ScheduledFuture<?> timer) {}

    private final EventLoop loop;
    private final TcpPeerNetwork network;
    private final AccountQuotas quotas;
    private final PeerRegistry peers;
    private final String run;
    private final Map<Long, Loan> pending = new HashMap<>();

    /** Loans that were given up; a late grant is refunded. */
    private final Map<Long, Loan> abandoned = new HashMap<>();

    private long loanNumber;
    private long borrowedCount;
    private long refusedCount;
    private long lentCount;
    private long timeoutCount;

    QuotaLender(
            EventLoop loop,
            TcpPeerNetwork network,
            AccountQuotas quotas,
            PeerRegistry peers,
            String run) {
        this.loop = loop;
        this.network = network;
        this.quotas = quotas;
        this.peers = peers;
        this.run = run;
        network.handleNonBlocking(
                QuotaLoanRequest.class, (from, m) -> loop.execute(() -> lend(from, m)));
        network.handleNonBlocking(QuotaLoanReply.class, (from, m) -> loop.execute(() -> end(m)));
    }

    @Override
    public void borrow(ClientAccount account, double units, Callback callback) {
        Optional<AccountQuota> quota = quotas.quota(account);
        if (quota.isEmpty() || !quotas.isPooled()) {
            callback.answered(false);
            return;
        }
        AccountQuota q = quota.get();
        String lender = lenderOf(account);
        if (lender.equals(run)) {
            answer(q, units, q.tryLend(units, System.nanoTime()), callback);
            return;
        }
        long number = ++loanNumber;
        ScheduledFuture<?> timer =
                loop.schedule(() -> abandon(number), TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        pending.put(number, new Loan(q, units, callback, timer));
        network.send(new NodeId(lender), new QuotaLoanRequest(number, account.value(), units));
    }

    /** Updates the fraction of the nodes that are in this zone. */
    void updateZoneShare(int nodeCount) {
        int inZone = peers.heardInZone().size() + 1;
        quotas.setZoneFraction(Math.min(1.0, (double) inZone / Math.max(1, nodeCount)));
    }

    private String lenderOf(ClientAccount account) {
        List<String> runs = new ArrayList<>(peers.heardInZone());
        runs.add(run);
        return Rendezvous.rank("quota/" + account.value(), runs, NodeStatus::nodeOf).getFirst();
    }

    private void lend(NodeId borrower, QuotaLoanRequest m) {
        boolean granted =
                quotas.quota(new ClientAccount(m.account()))
                        .map(q -> q.tryLend(m.units(), System.nanoTime()))
                        .orElse(false);
        lentCount += granted ? 1 : 0;
        network.send(borrower, new QuotaLoanReply(m.number(), granted));
    }

    private void end(QuotaLoanReply m) {
        Loan loan = pending.remove(m.number());
        if (loan != null) {
            loan.timer.cancel(false);
            answer(loan.quota, loan.units, m.granted(), loan.callback);
            return;
        }
        Loan late = abandoned.remove(m.number());
        if (late != null && m.granted()) {
            late.quota.refund(late.units);
        }
    }

    private void answer(AccountQuota quota, double units, boolean granted, Callback callback) {
        if (granted) {
            borrowedCount++;
            quota.borrowed(units, System.nanoTime());
        } else {
            refusedCount++;
        }
        callback.answered(granted);
    }

    private void abandon(long number) {
        Loan loan = pending.remove(number);
        if (loan == null) {
            return;
        }
        timeoutCount++;
        abandoned.put(number, loan);
        loop.schedule(() -> abandoned.remove(number), 10 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        answer(loan.quota, loan.units, false, loan.callback);
    }

    /** Appends the metrics in the Prometheus text format. */
    void writeMetrics(StringBuilder to) {
        to.append("# TYPE carobdoor_gateway_quota_loans counter\n");
        writeCount(to, "borrowed", borrowedCount);
        writeCount(to, "refused", refusedCount);
        writeCount(to, "timed_out", timeoutCount);
        writeCount(to, "lent", lentCount);
    }

    private static void writeCount(StringBuilder to, String outcome, long count) {
        to.append("carobdoor_gateway_quota_loans_total{outcome=\"")
                .append(outcome)
                .append("\"} ")
                .append(count)
                .append('\n');
    }
}
