package org.carobdoor.bench.faults;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.carobdoor.standins.gateway.EndpointBehavior;
import org.carobdoor.standins.gateway.EndpointEpisode;
import org.carobdoor.standins.gateway.StutteringEndpoint;

/** Lets the endpoints of the plain service misbehave in episodes that overlap, until closed. */
final class EndpointEpisodes implements AutoCloseable {
    private static final long MAX_DELAY_MILLIS = 1_000;
    private static final long MIN_EPISODE_MILLIS = 500;
    private static final long MAX_EPISODE_MILLIS = 4_000;
    private static final long AWAY_MILLIS = 700;
    private static final int MAX_BEHAVIORS = 3;
    private static final double MIN_SHARE = 0.1;
    private static final double MAX_SHARE = 0.8;
    private static final double CRASH_SHARE = 0.1;
    private static final double ALL_ENDPOINTS_SHARE = 0.25;

    private final List<StutteringEndpoint> endpoints;
    private final List<EndpointBehavior> kinds;
    private final SplittableRandom random;
    private final Violations violations;
    private final long startNanos = System.nanoTime();
    private final Thread thread;

    private EndpointEpisodes(
            List<StutteringEndpoint> endpoints,
            List<EndpointBehavior> kinds,
            SplittableRandom random,
            Violations violations) {
        this.endpoints = endpoints;
        this.kinds = kinds;
        this.random = random;
        this.violations = violations;
        this.thread = Thread.ofVirtual().unstarted(this::run);
    }

    /**
     * Starts the first episode soon.
     *
     * @param kinds the behaviors that episodes are made of
     */
    static EndpointEpisodes start(
            List<StutteringEndpoint> endpoints,
            List<EndpointBehavior> kinds,
            SplittableRandom random,
            Violations violations) {
        EndpointEpisodes e = new EndpointEpisodes(endpoints, kinds, random, violations);
        e.thread.start();
        return e;
    }

    private void run() {
        List<Thread> episodes = new ArrayList<>();
        try {
            while (true) {
                Thread.sleep(random.nextLong(MAX_DELAY_MILLIS));
                SplittableRandom own = random.split();
                episodes.add(Thread.ofVirtual().start(() -> runEpisode(own)));
            }
        } catch (InterruptedException e) {
            episodes.forEach(Thread::interrupt);
        }
    }

    private void runEpisode(SplittableRandom own) {
        int index = own.nextInt(endpoints.size());
        List<StutteringEndpoint> affected =
                own.nextDouble() < ALL_ENDPOINTS_SHARE ? endpoints : List.of(endpoints.get(index));
        if (own.nextDouble() < CRASH_SHARE) {
            crash(index);
            return;
        }
        List<EndpointBehavior> behaviors = new ArrayList<>();
        for (int i = 1 + own.nextInt(MAX_BEHAVIORS); i > 0; i--) {
            behaviors.add(kinds.get(own.nextInt(kinds.size())));
        }
        EndpointEpisode episode =
                new EndpointEpisode(behaviors, own.nextDouble(MIN_SHARE, MAX_SHARE));
        long millis = own.nextLong(MIN_EPISODE_MILLIS, MAX_EPISODE_MILLIS);
        log(
                "EPISODE "
                        + (affected.size() > 1 ? "all endpoints" : "e-" + index)
                        + " for "
                        + millis
                        + " ms: "
                        + episode);
        affected.forEach(e -> e.begin(episode));
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            affected.forEach(e -> e.end(episode));
        }
    }

    private void crash(int index) {
        log("ENDPOINT CRASH e-" + index);
        try {
            endpoints.get(index).crash(AWAY_MILLIS);
        } catch (IOException e) {
            violations.add("endpoint e-" + index + " could not be crashed: " + e);
        }
    }

    private void log(String event) {
        System.out.printf("%7.3f s  %s%n", (System.nanoTime() - startNanos) / 1e9, event);
    }

    /** Ends all episodes. */
    @Override
    public void close() throws InterruptedException {
        thread.interrupt();
        thread.join();
    }
}
