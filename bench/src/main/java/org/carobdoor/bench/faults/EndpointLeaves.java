package org.carobdoor.bench.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import org.carobdoor.standins.gateway.StoreStandIn;
import org.carobdoor.standins.gateway.StutteringEndpoint;

/**
 * Lets endpoints of the plain service leave and start again under the same id, until closed. They
 * say so in the store, in their answers, or both, and serve on meanwhile.
 */
final class EndpointLeaves implements AutoCloseable {
    private static final long MAX_PAUSE_MILLIS = 2_500;
    private static final long MIN_LEAVE_MILLIS = 2_500;
    private static final long MAX_LEAVE_MILLIS = 6_000;
    private static final long HEARTBEAT_MILLIS = 400;

    private enum Notice {
        DRAINING,
        DRAINING_AND_ANSWERS,
        REMOVED,
        REMOVED_AND_ANSWERS,
        ANSWERS
    }

    private final List<StutteringEndpoint> endpoints;
    private final StoreStandIn store;
    private final SplittableRandom random;
    private final List<EndpointLeave> leaves = new ArrayList<>();
    private final Set<String> leaving = ConcurrentHashMap.newKeySet();
    private final long createdNanos = System.nanoTime();
    private final Thread thread = Thread.ofVirtual().unstarted(this::run);

    private EndpointLeaves(
            List<StutteringEndpoint> endpoints, StoreStandIn store, SplittableRandom random) {
        this.endpoints = endpoints;
        this.store = store;
        this.random = random;
    }

    /** Starts to let endpoints leave. */
    static EndpointLeaves start(
            List<StutteringEndpoint> endpoints, StoreStandIn store, SplittableRandom random) {
        EndpointLeaves l = new EndpointLeaves(endpoints, store, random);
        l.thread.start();
        return l;
    }

    /** Returns the leaves so far. */
    synchronized List<EndpointLeave> leaves() {
        return List.copyOf(leaves);
    }

    private void run() {
        List<Thread> running = new ArrayList<>();
        try {
            while (true) {
                Thread.sleep(random.nextLong(MAX_PAUSE_MILLIS));
                StutteringEndpoint e = endpoints.get(random.nextInt(endpoints.size()));
                SplittableRandom own = random.split();
                if (leaving.add(e.id())) {
                    running.add(Thread.ofVirtual().start(() -> leave(e, own)));
                }
            }
        } catch (InterruptedException e) {
            running.forEach(Thread::interrupt);
        }
    }

    private void leave(StutteringEndpoint e, SplittableRandom own) {
        Notice notice = Notice.values()[own.nextInt(Notice.values().length)];
        long millis = own.nextLong(MIN_LEAVE_MILLIS, MAX_LEAVE_MILLIS);
        System.out.printf(
                "%7.3f s  LEAVE %s for %d ms: %s%n",
                (System.nanoTime() - createdNanos) / 1e9, e.id(), millis, notice);
        long start = System.nanoTime();
        long acknowledged = Long.MAX_VALUE;
        switch (notice) {
            case DRAINING -> e.drain(store, GatewayCluster.PLAIN_SERVICE);
            case DRAINING_AND_ANSWERS -> {
                e.sayLeaving();
                e.drain(store, GatewayCluster.PLAIN_SERVICE);
            }
            case REMOVED -> e.remove(store);
            case REMOVED_AND_ANSWERS -> {
                e.sayLeaving();
                e.remove(store);
            }
            case ANSWERS -> e.sayLeaving();
            default -> throw new AssertionError(notice);
        }
        if (notice != Notice.ANSWERS) {
            acknowledged = System.nanoTime();
        }
        try {
            while (System.nanoTime() - start < millis * 1_000_000L) {
                Thread.sleep(HEARTBEAT_MILLIS);
                if (notice == Notice.ANSWERS) {
                    e.register(store, GatewayCluster.PLAIN_SERVICE);
                }
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        synchronized (this) {
            leaves.add(new EndpointLeave(e.id(), acknowledged, start, System.nanoTime()));
        }
        e.restart();
        e.register(store, GatewayCluster.PLAIN_SERVICE);
        leaving.remove(e.id());
    }

    /** Ends all leaves; the endpoints start again. */
    @Override
    public void close() throws InterruptedException {
        thread.interrupt();
        thread.join();
        while (!leaving.isEmpty()) {
            Thread.sleep(10);
        }
    }
}
