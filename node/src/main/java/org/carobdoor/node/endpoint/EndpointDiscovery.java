package org.carobdoor.node.endpoint;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.carobdoor.EndpointId;
import org.carobdoor.Result;
import org.carobdoor.clients.cloud.CloudClient;
import org.carobdoor.clients.cloud.NoticeList;
import org.carobdoor.clients.cloud.ReclaimNotice;
import org.carobdoor.clients.cloud.VmList;
import org.carobdoor.internal.endpoint.EndpointRecord;
import org.carobdoor.internal.endpoint.EndpointState;
import org.carobdoor.internal.routing.EndpointSnapshot;
import org.carobdoor.internal.routing.EndpointView;
import org.carobdoor.node.metrics.NodeMetrics;

/**
 * Polls the platform for its VM list and reclaim notices, updates the endpoint view, and publishes
 * changes to the other nodes.
 *
 * <p>Only the reader nodes of each availability zone call the platform; the other nodes receive the
 * records from them. The number of calls thus grows with the number of zones, not of nodes.
 */
public final class EndpointDiscovery implements AutoCloseable {
    private static final Duration LIST_INTERVAL = Duration.ofSeconds(2);
    private static final Duration READER_CHECK_INTERVAL = Duration.ofMillis(500);
    private static final Duration LIST_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration NOTICE_POLL_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration FIRST_NOTICE_POLL_TIMEOUT = Duration.ofMillis(500);
    private static final Duration NOTICE_CHECK_INTERVAL = Duration.ofMillis(50);

    private final CloudClient cloud;
    private final EndpointView view;
    private final BooleanSupplier isReader;
    private final Consumer<List<EndpointRecord>> publish;
    private final Consumer<ReclaimNotice> onNotice;
    private final NodeMetrics metrics;
    private final InstantSource clock;
    private final AtomicBoolean closed = new AtomicBoolean();
    private final AtomicBoolean listed = new AtomicBoolean();
    private final AtomicBoolean noticesRead = new AtomicBoolean();

    /**
     * Notices by VM. The list can still show a VM as live after its notice, or first show it then.
     */
    private final ConcurrentMap<EndpointId, ReclaimNotice> notices = new ConcurrentHashMap<>();

    private final List<Thread> threads;

    /**
     * Starts polling.
     *
     * @param reader returns whether this node is a reader of its availability zone
     * @param publish receives the current records to publish
     * @param onNotice receives each notice, including those for entry VMs
     */
    public EndpointDiscovery(
            CloudClient cloud,
            EndpointView view,
            BooleanSupplier reader,
            Consumer<List<EndpointRecord>> publish,
            Consumer<ReclaimNotice> onNotice,
            NodeMetrics metrics,
            InstantSource clock) {
        this.cloud = cloud;
        this.view = view;
        this.isReader = reader;
        this.publish = publish;
        this.onNotice = onNotice;
        this.metrics = metrics;
        this.clock = clock;
        this.threads =
                List.of(
                        Thread.ofVirtual().name("vm-list").start(this::readLists),
                        Thread.ofVirtual().name("notices").start(this::readNotices));
    }

    /** Returns whether the list has been read at least once. */
    public boolean hasListed() {
        return listed.get();
    }

    private void readLists() {
        while (awaitReaderRole()) {
            if (!noticesRead.get()) {
                // The list lags behind the notices: it can show a VM as live that has a reclaim
                // notice.
                sleep(NOTICE_CHECK_INTERVAL);
                continue;
            }
            Instant deadline = clock.instant().plus(LIST_TIMEOUT);
            switch (cloud.vms(deadline)) {
                case Result.Ok<VmList>(var list) -> applyList(list.endpoints());
                case Result.Err<VmList>(var failure) -> metrics.event("vm_list_failed", 1);
            }
            sleep(LIST_INTERVAL);
        }
    }

    private void applyList(List<EndpointRecord> list) {
        List<EndpointRecord> endpoints = list.stream().map(this::withNotice).toList();
        view.applyList(endpoints);
        listed.set(true);
        List<EndpointRecord> known =
                endpoints.stream()
                        .map(e -> view.find(e.id()).map(EndpointSnapshot::record).orElse(e))
                        .filter(e -> e.state() != EndpointState.STARTING)
                        .toList();
        publish.accept(known);
    }

    private EndpointRecord withNotice(EndpointRecord record) {
        ReclaimNotice notice = notices.get(record.id());
        return notice == null ? record : record.leaving(notice.noticedAt(), notice.reclaimAt());
    }

    private void readNotices() {
        long after = 0;
        while (awaitReaderRole()) {
            Duration wait = noticesRead.get() ? NOTICE_POLL_TIMEOUT : FIRST_NOTICE_POLL_TIMEOUT;
            Instant deadline = clock.instant().plus(wait);
            switch (cloud.notices(after, deadline)) {
                case Result.Ok<NoticeList>(var list) -> {
                    after = list.sequence();
                    list.notices().forEach(this::applyNotice);
                    noticesRead.set(true);
                }
                case Result.Err<NoticeList>(var failure) -> {
                    metrics.event("notices_failed", 1);
                    sleep(READER_CHECK_INTERVAL);
                }
            }
        }
    }

    private void applyNotice(ReclaimNotice notice) {
        metrics.event("reclaim_notice", 1);
        EndpointId id = new EndpointId(notice.vmId());
        notices.put(id, notice);
        view.onNotice(id, notice.noticedAt(), notice.reclaimAt());
        Optional<EndpointRecord> record = view.find(id).map(EndpointSnapshot::record);
        record.ifPresent(r -> publish.accept(List.of(r)));
        onNotice.accept(notice);
    }

    /** Waits while this node is not a reader; returns false once this object is closed. */
    private boolean awaitReaderRole() {
        while (!closed.get() && !isReader.getAsBoolean()) {
            sleep(READER_CHECK_INTERVAL);
        }
        return !closed.get();
    }

    private static void sleep(Duration time) {
        try {
            Thread.sleep(time);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        closed.set(true);
        threads.forEach(Thread::interrupt);
    }
}
