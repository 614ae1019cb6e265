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

/** The VMs and reclaim notices of the cloud API; safe for several threads. */
final class CloudState {
    // Older states of the list are dropped; the lag must stay below this.
    private static final long KEPT_MILLIS = 60_000;

    private final InstantSource clock;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition noticed = lock.newCondition();
    private final Map<String, CloudVm> vms = new TreeMap<>();
    private final Deque<Snapshot> snapshots = new ArrayDeque<>();
    private final List<ReclaimNotice> notices = new ArrayList<>();
    private final Map<String, String> orders = new HashMap<>();
    private long highestFencing;
    private long nextId;

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
            snapshot();
        } finally {
            lock.unlock();
        }
    }

    /** Returns an identifier that was not used before. */
    String newId() {
        lock.lock();
        try {
            return "vm-" + ++nextId;
        } finally {
            lock.unlock();
        }
    }

    /** Returns the list as it was {@code lagMillis} ago. */
    List<CloudVm> listed(long lagMillis) {
        lock.lock();
        try {
            long asOf = clock.millis() - lagMillis;
            List<CloudVm> list = List.of();
            for (Snapshot s : snapshots) {
                if (s.atMillis() > asOf) {
                    break;
                }
                list = s.vms();
            }
            return list;
        } finally {
            lock.unlock();
        }
    }

    /** Takes note of a fencing number and returns whether it is at least the highest so far. */
    boolean acceptsFencing(long fencing) {
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

    /** Returns the VM that an order with this client token made, if there was one. */
    @Nullable String orderedBefore(String clientToken) {
        lock.lock();
        try {
            return orders.get(clientToken);
        } finally {
            lock.unlock();
        }
    }

    /** Records an order; returns the identifier of the VM, an earlier one for a repeated token. */
    String order(String clientToken, CloudVm vm) {
        lock.lock();
        try {
            String earlier = orders.putIfAbsent(clientToken, vm.id());
            if (earlier != null) {
                return earlier;
            }
            vms.put(vm.id(), vm);
            snapshot();
            return vm.id();
        } finally {
            lock.unlock();
        }
    }

    /** Makes a VM that is starting live; has no effect if it is gone or leaving. */
    void started(String id, String address) {
        lock.lock();
        try {
            CloudVm vm = vms.get(id);
            if (vm != null && vm.state().equals("starting")) {
                vms.put(id, vm.startedAt(address));
                snapshot();
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

    /** Announces the reclaim of all VMs that match and are not leaving yet. */
    List<ReclaimNotice> announce(Predicate<CloudVm> which, long noticeMillis) {
        lock.lock();
        try {
            long now = clock.millis();
            List<ReclaimNotice> added = new ArrayList<>();
            for (CloudVm vm : List.copyOf(vms.values())) {
                if (which.test(vm) && !vm.state().equals("leaving")) {
                    vms.put(vm.id(), vm.withState("leaving"));
                    long sequence = notices.size() + 1L;
                    var notice = new ReclaimNotice(sequence, vm.id(), now, now + noticeMillis);
                    notices.add(notice);
                    added.add(notice);
                }
            }
            snapshot();
            noticed.signalAll();
            return added;
        } finally {
            lock.unlock();
        }
    }

    /** Removes a VM; returns whether it was there. */
    boolean remove(String id) {
        lock.lock();
        try {
            boolean removed = vms.remove(id) != null;
            snapshot();
            return removed;
        } finally {
            lock.unlock();
        }
    }

    /** Waits for notices with a sequence above {@code after}, for {@code waitMillis} at most. */
    List<ReclaimNotice> notices(long after, long waitMillis) throws InterruptedException {
        lock.lock();
        try {
            long left = TimeUnit.MILLISECONDS.toNanos(waitMillis);
            while (notices.size() <= after && left > 0) {
                left = noticed.awaitNanos(left);
            }
            int from = (int) Math.clamp(after, 0, notices.size());
            return List.copyOf(notices.subList(from, notices.size()));
        } finally {
            lock.unlock();
        }
    }

    private void snapshot() {
        long now = clock.millis();
        snapshots.addLast(new Snapshot(now, List.copyOf(vms.values())));
        // The newest state older than the kept span stays: it is what a lagging list shows.
        while (snapshots.size() > 2) {
            Snapshot oldest = snapshots.removeFirst();
            if (snapshots.getFirst().atMillis() > now - KEPT_MILLIS) {
                snapshots.addFirst(oldest);
                return;
            }
        }
    }
}
