package org.carobdoor.node.settings;

import java.util.List;
import org.carobdoor.ClientAccount;

/**
 * A client account and the keys that authenticate its callers.
 *
 * @param account the account
 * @param keys the keys, any of which is accepted, so that one can be replaced by another
 */
public record AccountSettings(ClientAccount account, List<String> keys) {

    /** Copies the list. */
    public AccountSettings {
        keys = List.copyOf(keys);
    }

    @Override
    public String toString() {
        return "AccountSettings[" + account + "]";
    }
}
