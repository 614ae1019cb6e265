package org.carobdoor.node.replica;

import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.carobdoor.NodeId;
import org.carobdoor.PeerNetwork;
import org.carobdoor.Result;
import org.carobdoor.internal.replica.VersionedReplica;
import org.carobdoor.message.PeerMessage;
import org.carobdoor.message.ReplicaItem;
import org.carobdoor.message.ReplicaItems;
import org.carobdoor.message.ReplicaPull;

/** Pulls differing items from peers whose probes carry another digest, one pull at a time. */
final class ReplicaPuller implements AutoCloseable {
    /** Maximum number of calls for one difference; the next probe starts another pull. */
    private static final int MAX_ROUNDS = 20;

    private record Difference(NodeId peer, long ownDigest) {}

    private final BlockingQueue<Difference> differences = new ArrayBlockingQueue<>(1);
    private final VersionedReplica replica;
    private final PeerNetwork network;
    private final ReplicaServiceSettings settings;
    private final InstantSource clock;
    private final RandomGenerator random;
    private final Consumer<List<ReplicaItem>> onReceived;
    private final Thread thread;

    ReplicaPuller(
            VersionedReplica replica,
            PeerNetwork network,
            ReplicaServiceSettings settings,
            InstantSource clock,
            RandomGenerator random,
            Consumer<List<ReplicaItem>> onReceived) {
        this.replica = replica;
        this.network = network;
        this.settings = settings;
        this.clock = clock;
        this.random = random;
        this.onReceived = onReceived;
        thread = Thread.ofVirtual().name("replica-pull").unstarted(this::run);
    }

    void start() {
        thread.start();
    }

    /** Enqueues a difference without blocking. While a pull runs, at most one more is queued. */
    void onDifference(NodeId peer) {
        if (differences.isEmpty()) {
            var unused = differences.offer(new Difference(peer, replica.digest()));
        }
    }

    private void run() {
        try {
            while (true) {
                Difference d = differences.take();
                long interval = settings.pullInterval().toNanos();
                TimeUnit.NANOSECONDS.sleep(interval / 2 + random.nextLong(interval));
                // If the digest has changed, a push has most likely resolved the difference.
                if (replica.digest() == d.ownDigest()) {
                    pull(d.peer());
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void pull(NodeId peer) {
        for (int i = 0; i < MAX_ROUNDS; i++) {
            Result<PeerMessage> r =
                    network.call(
                            peer,
                            new ReplicaPull(replica.bucketDigests()),
                            clock.instant().plus(settings.pullTimeout()));
            if (!(r instanceof Result.Ok<PeerMessage>(ReplicaItems items))) {
                return;
            }
            List<ReplicaItem> changed = replica.apply(items.items());
            onReceived.accept(changed);
            if (changed.isEmpty()) {
                return;
            }
        }
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
