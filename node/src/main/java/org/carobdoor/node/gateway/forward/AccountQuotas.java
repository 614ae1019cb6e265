package org.carobdoor.node.gateway.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.carobdoor.ClientAccount;
import org.carobdoor.internal.deployment.Account;
import org.carobdoor.internal.deployment.Configuration;
import org.carobdoor.internal.deployment.QuotaLimit;
import org.carobdoor.internal.peers.StatusInterval;
import org.carobdoor.internal.quota.AccountQuota;
import org.carobdoor.internal.quota.QuotaPool;
import org.carobdoor.message.AccountUse;

/** The quotas of the configured client accounts. Confined to the event loop. */
public final class AccountQuotas {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private static final double POOLED_FRACTION = 0.5;

    private final Map<ClientAccount, AccountQuota> quotas = new HashMap<>();
    private final long windowNanos;
    private final double tolerance;
    private final RandomGenerator random;
    private final double poolExcess;
    private int nodeCount = 1;
    private double zoneFraction;

    private AccountQuotas(
            long windowNanos, double tolerance, double poolExcess, RandomGenerator random) {
        this.poolExcess = poolExcess;
        this.random = random;
        this.tolerance = tolerance;
        this.windowNanos = windowNanos;
    }

    /**
     * Creates an instance without quotas.
     *
     * @param windowNanos the length of the windows over which use is counted
     * @param tolerance the fraction of a quota by which its use may exceed it
     * @param poolExcess the units by which a single request may overdraw the pool of a zone
     */
    public static AccountQuotas create(
            long windowNanos, double tolerance, double poolExcess, RandomGenerator random) {
        return new AccountQuotas(windowNanos, tolerance, poolExcess, random);
    }

    /** Applies the limits of a configuration. */
    public void configure(Configuration configuration, long nowNanos) {
        Map<ClientAccount, QuotaLimit> limits = new HashMap<>();
        for (Account a : configuration.accounts()) {
            a.quota().ifPresent(q -> limits.put(a.id(), q));
        }
        quotas.keySet().retainAll(limits.keySet());
        limits.forEach(
                (id, limit) -> {
                    AccountQuota quota = quotas.get(id);
                    if (quota == null) {
                        quota =
                                AccountQuota.create(
                                        limit, tolerance, windowNanos, random, nowNanos);
                        quota.setNodes(nodeCount, nowNanos);
                        quota.setPools(pools(), zoneFraction);
                        quotas.put(id, quota);
                    } else {
                        quota.setLimit(limit, nowNanos);
                    }
                });
    }

    /** Sets the number of nodes that share the quotas. */
    public void setNodes(int count, long nowNanos) {
        nodeCount = count;
        quotas.values().forEach(q -> q.setNodes(count, nowNanos));
        setZoneFraction(zoneFraction);
    }

    /**
     * Returns whether a part of each quota is held in pools of the zones. In a small cluster the
     * part of each node is large enough.
     */
    public boolean isPooled() {
        return StatusInterval.isRelayed(nodeCount);
    }

    /** Sets the fraction of all nodes that are in the zone of this node. */
    public void setZoneFraction(double fraction) {
        zoneFraction = fraction;
        quotas.values().forEach(q -> q.setPools(pools(), fraction));
    }

    private QuotaPool pools() {
        return isPooled() ? new QuotaPool(POOLED_FRACTION, poolExcess) : QuotaPool.NONE;
    }

    /** Returns the quota of {@code account}, if it has one. */
    public Optional<AccountQuota> quota(ClientAccount account) {
        return Optional.ofNullable(quotas.get(account));
    }

    /**
     * Applies the use reported by another node. It has granted nothing of the quotas that are not
     * among {@code uses} since its last report.
     *
     * @param run identifies the process of that node
     * @param ageMillis the uptime of that process
     */
    public void applyNodeUse(String run, List<AccountUse> uses, long ageMillis, long nowNanos) {
        boolean coversWindow = ageMillis * NANOS_PER_MILLI > windowNanos;
        Set<ClientAccount> used = new HashSet<>();
        for (AccountUse u : uses) {
            ClientAccount account = new ClientAccount(u.account());
            AccountQuota q = quotas.get(account);
            used.add(account);
            if (q != null) {
                q.applyNodeUse(run, u.granted(), u.recent(), coversWindow, nowNanos);
            }
        }
        quotas.forEach(
                (account, q) -> {
                    if (!used.contains(account)) {
                        q.applyNoUse(run, nowNanos);
                    }
                });
    }

    /** Removes a node that has left the cluster. */
    public void removeNode(String run) {
        quotas.values().forEach(q -> q.removeNode(run));
    }

    /**
     * Returns the use granted by this node.
     *
     * @param withRecent whether to include the recent use, which a node that has just started needs
     *     because it does not know the use before its start
     */
    public List<AccountUse> ownUse(boolean withRecent, long nowNanos) {
        List<AccountUse> uses = new ArrayList<>();
        quotas.forEach(
                (id, q) ->
                        uses.add(
                                new AccountUse(
                                        id.value(),
                                        q.grantedHere(),
                                        withRecent ? q.recent(nowNanos) : List.of())));
        return uses;
    }
}
