package org.carobdoor.node.gateway.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.carobdoor.ClientAccount;
import org.carobdoor.internal.deployment.Account;
import org.carobdoor.internal.deployment.Configuration;
import org.carobdoor.internal.deployment.QuotaLimit;
import org.carobdoor.internal.quota.AccountQuota;
import org.carobdoor.message.AccountUse;

/** The quotas of the configuration's client accounts. Belongs to the event loop. */
public final class AccountQuotas {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Map<ClientAccount, AccountQuota> quotas = new HashMap<>();
    private final long windowNanos;
    private final double tolerance;
    private final RandomGenerator random;
    private int nodes = 1;

    private AccountQuotas(long windowNanos, double tolerance, RandomGenerator random) {
        this.random = random;
        this.tolerance = tolerance;
        this.windowNanos = windowNanos;
    }

    /**
     * Returns no quotas.
     *
     * @param windowNanos the length of the windows over which use is counted
     * @param tolerance the share of a quota that may be used on top of it
     */
    public static AccountQuotas create(long windowNanos, double tolerance, RandomGenerator random) {
        return new AccountQuotas(windowNanos, tolerance, random);
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
                        quota.setNodes(nodes, nowNanos);
                        quotas.put(id, quota);
                    } else {
                        quota.setLimit(limit, nowNanos);
                    }
                });
    }

    /** Sets the number of nodes that share the quotas. */
    public void setNodes(int count, long nowNanos) {
        nodes = count;
        quotas.values().forEach(q -> q.setNodes(count, nowNanos));
    }

    /** Returns the quota of {@code account}, if it has one. */
    public Optional<AccountQuota> quota(ClientAccount account) {
        return Optional.ofNullable(quotas.get(account));
    }

    /**
     * Applies what another node has granted.
     *
     * @param ageMillis how long that run of the node has run
     */
    public void report(String run, List<AccountUse> uses, long ageMillis, long nowNanos) {
        boolean knows = ageMillis * NANOS_PER_MILLI > windowNanos;
        for (AccountUse u : uses) {
            AccountQuota q = quotas.get(new ClientAccount(u.account()));
            if (q != null) {
                q.report(run, u.granted(), u.recent(), knows, nowNanos);
            }
        }
    }

    /** Forgets a node that has left. */
    public void forget(String run) {
        quotas.values().forEach(q -> q.forget(run));
    }

    /**
     * Returns what this node has granted.
     *
     * @param withRecent whether a node has started, which needs the use before its start
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
