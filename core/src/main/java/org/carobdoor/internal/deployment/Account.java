package org.carobdoor.internal.deployment;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.carobdoor.ClientAccount;

/**
 * A client account of the configuration.
 *
 * @param id the account
 * @param keys the API keys that authenticate its callers
 * @param priority the rank of its requests, which overrides the route's; empty if the route's
 *     applies
 * @param quota its quota; empty if there is no limit
 */
public record Account(
        ClientAccount id, Set<String> keys, OptionalInt priority, Optional<QuotaLimit> quota) {

    /** Copies the set of keys. */
    public Account {
        keys = Set.copyOf(keys);
    }

    @Override
    public String toString() {
        // Omits the keys, so that they cannot reach a log.
        return "Account[" + id + "]";
    }
}
