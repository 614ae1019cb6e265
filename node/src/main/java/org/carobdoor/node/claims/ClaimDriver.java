package org.carobdoor.node.claims;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.carobdoor.Result;
import org.carobdoor.internal.claims.ClaimVerdict;
import org.carobdoor.internal.claims.Claimant;
import org.carobdoor.internal.claims.ClaimantStep;
import org.carobdoor.message.ClaimReply;

/** Performs the steps of claimants. */
final class ClaimDriver {
    private final OwnerClient owners;
    private final InstantSource clock;

    ClaimDriver(OwnerClient owners, InstantSource clock) {
        this.owners = owners;
        this.clock = clock;
    }

    /** Queries owners until there is a verdict. */
    ClaimVerdict decide(ActiveClaim claim) throws InterruptedException {
        while (true) {
            // A step can end the claim, so the verdict is read after it.
            ClaimantStep step = claim.withLock(Claimant::next);
            Optional<ClaimVerdict> verdict = claim.withLock(Claimant::verdict);
            if (verdict.isPresent()) {
                return verdict.get();
            }
            perform(claim, step);
        }
    }

    /**
     * Reports the outcome until an owner has confirmed it or the time limit for reports has passed.
     */
    void report(ActiveClaim claim) throws InterruptedException {
        while (true) {
            ClaimantStep step = claim.withLock(Claimant::next);
            if (step instanceof ClaimantStep.Idle) {
                return;
            }
            perform(claim, step);
        }
    }

    private void perform(ActiveClaim claim, ClaimantStep step) throws InterruptedException {
        switch (step) {
            case ClaimantStep.Idle idle -> {}
            case ClaimantStep.Pause(var until) -> sleepUntil(until);
            case ClaimantStep.Ask(var candidate, var message, var deadline) -> {
                Result<ClaimReply> reply = owners.ask(claim.log(), candidate, message, deadline);
                claim.withLock(
                        claimant -> {
                            claimant.onReply(reply);
                            return true;
                        });
            }
        }
    }

    private void sleepUntil(Instant until) throws InterruptedException {
        Duration wait = Duration.between(clock.instant(), until);
        if (wait.isPositive()) {
            Thread.sleep(wait);
        }
    }
}
