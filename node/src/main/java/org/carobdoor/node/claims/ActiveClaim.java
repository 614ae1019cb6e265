package org.carobdoor.node.claims;

import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;
import org.carobdoor.internal.claims.Claimant;

/** A claimant shared by the threads of one request. */
final class ActiveClaim {
    private final ReentrantLock lock = new ReentrantLock();
    private final Claimant claimant;
    private final int log;

    ActiveClaim(Claimant claimant, int log) {
        this.claimant = claimant;
        this.log = log;
    }

    int log() {
        return log;
    }

    /** Calls {@code f} while holding the lock of the claim. */
    <T> T withLock(Function<Claimant, T> f) {
        lock.lock();
        try {
            return f.apply(claimant);
        } finally {
            lock.unlock();
        }
    }
}
