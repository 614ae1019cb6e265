package org.carobdoor.internal.claims;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashSet;
import java.util.Set;

/** Records the grants and sends of one key and checks that it is sent at most once (P4). */
final class KeyHistory {
    private final String label;
    private final Set<Id128> holding = new HashSet<>();
    int sends;

    KeyHistory(String label) {
        this.label = label;
    }

    void onGrant(Claimant claimant) {
        assertWithMessage("%s: granted while another token holds the claim", label)
                .that(holding)
                .isEmpty();
        holding.add(claimant.token());
    }

    /** Called right before a release, only if nothing was sent. */
    void onRelease(Claimant claimant) {
        holding.remove(claimant.token());
    }

    void onSend(Claimant claimant) {
        sends++;
        assertWithMessage("%s: number of sends", label).that(sends).isEqualTo(1);
        assertWithMessage("%s: holder", label).that(holding).containsExactly(claimant.token());
    }
}
