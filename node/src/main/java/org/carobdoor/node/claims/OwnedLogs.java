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

/** The claim logs at this node, of which it owns some at any time. */
final class OwnedLogs implements AutoCloseable {
    /** How long the handler of a message from a peer waits; the peer asks again. */
    private static final Duration PATIENCE = Duration.ofSeconds(5);

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

    /** Loads the logs that this node has come to own. */
    void refresh() {
        for (int log = 0; log < runners.size(); log++) {
            runners.get(log).setOwned(owners.isFirst(log));
        }
    }

    /** Answers a message from a peer, or from this node. */
    ClaimReply ask(ClaimMessage message, String from, Instant deadline) {
        int log = log(message);
        if (log < 0 || log >= runners.size() || !owners.isServing(log)) {
            return new ClaimReply(Outcome.NOT_OWNER, Bytes.empty(), 0, "");
        }
        return runners.get(log).ask(message, from, deadline);
    }

    ClaimReply ask(ClaimMessage message, String from) {
        return ask(message, from, clock.instant().plus(PATIENCE));
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
