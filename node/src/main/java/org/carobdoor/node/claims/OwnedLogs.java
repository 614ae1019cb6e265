package org.carobdoor.node.claims;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.carobdoor.Bytes;
import org.carobdoor.KeyValueStore;
import org.carobdoor.internal.claims.ClaimKey;
import org.carobdoor.internal.claims.ClaimLog;
import org.carobdoor.message.ClaimLookup;
import org.carobdoor.message.ClaimMessage;
import org.carobdoor.message.ClaimReply;
import org.carobdoor.message.ClaimReply.Outcome;
import org.carobdoor.message.ClaimRequest;
import org.carobdoor.message.ClaimUpdate;

/** The claim logs on this node, including those that it does not own at present. */
final class OwnedLogs implements AutoCloseable {
    /** Time limit for handling a request from a peer, which retries afterwards. */
    private static final Duration PEER_REQUEST_TIMEOUT = Duration.ofSeconds(5);

    private final LogOwners owners;
    private final InstantSource clock;
    private final List<LogRunner> runners = new ArrayList<>();

    OwnedLogs(
            KeyValueStore store,
            LogOwners owners,
            ClaimSettings settings,
            InstantSource clock,
            RandomGenerator random,
            ClaimListener listener) {
        this.owners = owners;
        this.clock = clock;
        for (int log = 0; log < ClaimKey.LOGS; log++) {
            runners.add(
                    new LogRunner(
                            log,
                            new LogStore(store, log),
                            clock,
                            listener,
                            () -> new ClaimLog(settings.log(), clock, random, listener),
                            settings.idleLogKept()));
        }
    }

    void start() {
        runners.forEach(LogRunner::start);
        refresh();
    }

    /** Updates which logs this node owns, loading the new ones. */
    void refresh() {
        for (int log = 0; log < runners.size(); log++) {
            runners.get(log).setOwned(owners.isPrimary(log));
        }
    }

    /** Handles a message from a peer or from this node. */
    ClaimReply ask(ClaimMessage message, String from, Instant deadline) {
        int log = log(message);
        if (log < 0 || log >= runners.size() || !owners.isServing(log)) {
            return new ClaimReply(Outcome.NOT_OWNER, Bytes.empty(), 0, "");
        }
        return runners.get(log).ask(message, from, deadline);
    }

    ClaimReply ask(ClaimMessage message, String from) {
        return ask(message, from, clock.instant().plus(PEER_REQUEST_TIMEOUT));
    }

    private static int log(ClaimMessage message) {
        return switch (message) {
            case ClaimRequest request -> request.log();
            case ClaimUpdate update -> update.log();
            case ClaimLookup lookup -> lookup.log();
            default -> -1;
        };
    }

    @Override
    public void close() {
        runners.forEach(LogRunner::close);
    }
}
