package org.carobdoor.node;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import org.carobdoor.Member;
import org.carobdoor.MembershipView;
import org.carobdoor.NodeId;
import org.carobdoor.PeerNetwork;
import org.carobdoor.internal.routing.EndpointView;
import org.carobdoor.message.LoadReport;

/**
 * Tells other nodes of the availability zone how much this node has outstanding at endpoints.
 *
 * <p>Each report goes to a few nodes drawn at random, so that the traffic of a node does not grow
 * with their number.
 */
final class LoadExchange implements AutoCloseable {
    private static final Duration INTERVAL = Duration.ofMillis(500);
    private static final int ENDPOINTS_PER_REPORT = 20;
    private static final int PEERS_PER_REPORT = 2;

    private final PeerNetwork network;
    private final MembershipView membership;
    private final EndpointView endpoints;
    private final Thread thread;

    LoadExchange(
            PeerNetwork network,
            MembershipView membership,
            EndpointView endpoints,
            InstantSource clock) {
        this.network = network;
        this.membership = membership;
        this.endpoints = endpoints;
        network.handle(
                LoadReport.class,
                (from, report) -> {
                    endpoints.onPeerLoad(from, report);
                    return null;
                });
        this.thread = Thread.ofVirtual().name("load-reports").start(this::run);
    }

    private void run() {
        while (!Thread.currentThread().isInterrupted()) {
            LoadReport report = endpoints.takeLoadReport(ENDPOINTS_PER_REPORT);
            if (!report.outstandingTokens().isEmpty()) {
                peers().forEach(peer -> network.send(peer, report));
            }
            endpoints.forgetGone();
            try {
                Thread.sleep(INTERVAL);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private List<NodeId> peers() {
        Member self = membership.self();
        List<NodeId> all =
                membership.live().stream()
                        .filter(m -> m.zone().equals(self.zone()) && !m.id().equals(self.id()))
                        .map(Member::id)
                        .toList();
        if (all.size() <= PEERS_PER_REPORT) {
            return all;
        }
        int start = ThreadLocalRandom.current().nextInt(all.size());
        return List.of(all.get(start), all.get((start + 1) % all.size()));
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
