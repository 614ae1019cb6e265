package org.carobdoor.standins.platform;

import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/** The VMs and reclaim notices of the cloud API. This class is thread-safe. */
final class CloudState {
    // Older snapshots of the list of VMs are dropped, so the simulated list lag must be shorter.
    private static final long SNAPSHOT_RETENTION_MILLIS = 60_000;

    private final InstantSource clock;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition noticeAdded = lock.newCondition();
    private final Map<String, CloudVm> vms = new TreeMap<>();
    private final Deque<Snapshot> snapshots = new ArrayDeque<>();
    private final List<ReclaimNotice> notices = new ArrayList<>();
    private final Map<String, String> vmIdsByClientToken = new HashMap<>();
    private long highestFencing;
    private long lastId;

    CloudState(InstantSource clock) {
        this.clock = clock;
        snapshots.add(new Snapshot(Long.MIN_VALUE, List.of()));
    }

    private record Snapshot(long atMillis, List<CloudVm> vms) {}

    /** Adds or replaces a VM. */
    void put(CloudVm vm) {
        lock.lock();
        try {
            vms.put(vm.id(), vm);
            addSnapshot();
        } finally {
            lock.unlock();
        }
    }

    /** Returns a new, unused VM identifier. */
    String newId() {
        lock.lock();
        try {
            return "vm-" + ++lastId;
        } finally {
            lock.unlock();
        }
    }

    /** Returns the list of VMs as of {@code lagMillis} ago. */
    List<CloudVm> listAsOf(long lagMillis) {
        lock.lock();
        try {
            long asOf = clock.millis() - lagMillis;
            List<CloudVm> list = List.of();
            for (Snapshot snapshot : snapshots) {
                if (snapshot.atMillis() > asOf) {
                    break;
                }
                list = snapshot.vms();
            }
            return list;
        } finally {
            lock.unlock();
        }
    }

    /** Returns whether a fencing token is at least the highest so far, and stores it if so. */
    boolean acceptFencing(long fencing) {
        lock.lock();
        try {
            if (fencing < highestFencing) {
                return false;
            }
            highestFencing = fencing;
            return true;
        } finally {
            lock.unlock();
        }
    }

    /** Returns the identifier of the VM ordered with this client token, if any. */
    @Nullable String vmOfOrder(String clientToken) {
        lock.lock();
        try {
            return vmIdsByClientToken.get(clientToken);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Stores an ordered VM. Returns its identifier, or that of the earlier VM if the client token
     * is repeated.
     */
    String order(String clientToken, CloudVm vm) {
        lock.lock();
        try {
            String earlier = vmIdsByClientToken.putIfAbsent(clientToken, vm.id());
            if (earlier != null) {
                return earlier;
            }
            vms.put(vm.id(), vm);
            addSnapshot();
            return vm.id();
        } finally {
            lock.unlock();
        }
    }

    /** Marks a starting VM as live. Has no effect on a VM in another state or a removed one. */
    void markStarted(String id, String address) {
        lock.lock();
        try {
            CloudVm vm = vms.get(id);
            if (vm != null && vm.state().equals("starting")) {
                vms.put(id, vm.liveWithAddress(address));
                addSnapshot();
            }
        } finally {
            lock.unlock();
        }
    }

    @Nullable CloudVm vm(String id) {
        lock.lock();
        try {
            return vms.get(id);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Adds a reclaim notice for each matching VM that is not leaving yet, and marks it as leaving.
     */
    List<ReclaimNotice> announceReclaim(Predicate<CloudVm> filter, long noticeMillis) {
        lock.lock();
        try {
            long now = clock.millis();
            List<ReclaimNotice> added = new ArrayList<>();
            for (CloudVm vm : List.copyOf(vms.values())) {
                if (filter.test(vm) && !vm.state().equals("leaving")) {
                    vms.put(vm.id(), vm.withState("leaving"));
                    long sequence = notices.size() + 1L;
                    var notice = new ReclaimNotice(sequence, vm.id(), now, now + noticeMillis);
                    notices.add(notice);
                    added.add(notice);
                }
            }
            addSnapshot();
            noticeAdded.signalAll();
            return added;
        } finally {
            lock.unlock();
        }
    }

    /** Removes a VM and returns whether it existed. */
    boolean remove(String id) {
        lock.lock();
        try {
            boolean removed = vms.remove(id) != null;
            addSnapshot();
            return removed;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the notices with a sequence number above {@code after}. Waits up to {@code
     * waitMillis} if there are none.
     */
    List<ReclaimNotice> notices(long after, long waitMillis) throws InterruptedException {
        lock.lock();
        try {
            long remainingNanos = TimeUnit.MILLISECONDS.toNanos(waitMillis);
            while (notices.size() <= after && remainingNanos > 0) {
                remainingNanos = noticeAdded.awaitNanos(remainingNanos);
            }
            int from = (int) Math.clamp(after, 0, notices.size());
            return List.copyOf(notices.subList(from, notices.size()));
        } finally {
            lock.unlock();
        }
    }

    private void addSnapshot() {
        long now = clock.millis();
        snapshots.addLast(new Snapshot(now, List.copyOf(vms.values())));
        // The newest snapshot before the retention period is kept: it is the list at its start.
        while (snapshots.size() > 2) {
            Snapshot oldest = snapshots.removeFirst();
            if (snapshots.getFirst().atMillis() > now - SNAPSHOT_RETENTION_MILLIS) {
                snapshots.addFirst(oldest);
                return;
            }
        }
    }
}
