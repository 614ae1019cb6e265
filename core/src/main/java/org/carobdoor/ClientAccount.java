package org.carobdoor;

import org.carobdoor.internal.Preconditions;

/**
 * Identifies a client account.
 *
 * @param value the name of the account in settings and catalogue entries
 */
public record ClientAccount(String value) implements Comparable<ClientAccount> {

    /** Validates that the identifier is not blank. */
    public ClientAccount {
        Preconditions.checkNotBlank(value, "ClientAccount");
    }

    @Override
    public int compareTo(ClientAccount other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
