package org.carobdoor.node.gateway.control;

import java.util.concurrent.TimeUnit;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.carobdoor.wire.TcpPeerNetwork;

/** Logs the bytes exchanged with other nodes, which share the link with requests. */
final class PeerTrafficLog {
    static final long INTERVAL_MILLIS = 5_000;

    private final TcpPeerNetwork network;
    private final PeerRegistry peers;
    private final DecisionLog log;
    private long loggedBytesSent;
    private long loggedBytesReceived;

    PeerTrafficLog(TcpPeerNetwork network, PeerRegistry peers, DecisionLog log) {
        this.network = network;
        this.peers = peers;
        this.log = log;
    }

    /** Logs the traffic since the last call, one interval ago. */
    void write() {
        long sent = network.counters().bytesSent();
        long received = network.counters().bytesReceived();
        long seconds = TimeUnit.MILLISECONDS.toSeconds(INTERVAL_MILLIS);
        log.line("peers.traffic")
                .add("sent_per_s", (sent - loggedBytesSent) / seconds)
                .add("received_per_s", (received - loggedBytesReceived) / seconds)
                .add("queued", network.queuedBytes())
                .add("relay", peers.isRelay())
                .writeSummary();
        loggedBytesSent = sent;
        loggedBytesReceived = received;
    }
}
