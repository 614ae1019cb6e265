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
 * Exchanges load reports with other nodes of the availability zone: the outstanding work of each
 * node at the endpoints.
 *
 * <p>Each report goes to a few random nodes, so that the traffic per node does not grow with the
 * cluster size.
 */
final class LoadReporter implements AutoCloseable {
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(500);
    private static final int ENDPOINTS_PER_REPORT = 20;
    private static final int PEERS_PER_REPORT = 2;

    private final PeerNetwork network;
    private final MembershipView membership;
    private final EndpointView endpoints;
    private final Thread thread;

    LoadReporter(
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
                choosePeers().forEach(peer -> network.send(peer, report));
            }
            endpoints.forgetGone();
            try {
                Thread.sleep(REPORT_INTERVAL);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private List<NodeId> choosePeers() {
        Member self = membership.self();
        List<NodeId> candidates =
                membership.live().stream()
                        .filter(m -> m.zone().equals(self.zone()) && !m.id().equals(self.id()))
                        .map(Member::id)
                        .toList();
        if (candidates.size() <= PEERS_PER_REPORT) {
            return candidates;
        }
        int start = ThreadLocalRandom.current().nextInt(candidates.size());
        return List.of(candidates.get(start), candidates.get((start + 1) % candidates.size()));
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
