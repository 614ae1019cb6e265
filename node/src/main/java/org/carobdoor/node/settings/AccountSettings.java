package org.carobdoor.node.settings;

import java.util.List;
import org.carobdoor.ClientAccount;

/**
 * A client account and the keys that authenticate its callers.
 *
 * @param account the account
 * @param keys the accepted keys; several keys allow key rotation without downtime
 */
public record AccountSettings(ClientAccount account, List<String> keys) {

    /** Makes a defensive copy of the list. */
    public AccountSettings {
        keys = List.copyOf(keys);
    }

    @Override
    public String toString() {
        return "AccountSettings[" + account + "]";
    }
}
