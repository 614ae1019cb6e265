package org.carobdoor.standins.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.carobdoor.standins.gateway.AnswerLedger.Arrival;

/**
 * An endpoint of a plain service that responds twice, fails, holds requests or sheds them during
 * episodes, and records what it answered. Which requests are affected follows from the seed and the
 * order of their arrival.
 *
 * <pre>{@code
 * StutteringEndpoint endpoint = StutteringEndpoint.start("i-1", ledger, 7);
 * endpoint.register(store, "lots");
 * endpoint.begin(new EndpointEpisode(List.of(EndpointBehavior.REPEATED), 0.5));
 * }</pre>
 */
public final class StutteringEndpoint implements AutoCloseable {
    private static final int OK = 200;
    private static final int MISDIRECTED = 421;
    private static final int INTERNAL_ERROR = 500;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final String HEALTH_PATH = "/health";

    private static final int MIN_DELAY_MILLIS = 5;
    private static final int MAX_DELAY_MILLIS = 60;
    private static final int MIN_FAILURE_MILLIS = 20;
    private static final int MAX_FAILURE_MILLIS = 50;
    private static final int LATE_SUCCESS_MILLIS = 100;
    private static final int MAX_STUTTER_MILLIS = 2_000;
    private static final int MAX_BODY_BYTES = 2_000;
    private static final double IMMEDIATE_STUTTER_SHARE = 0.25;
    private static final double STUTTERED_FAILURE_SHARE = 0.3;

    private final String id;
    private final AnswerLedger ledger;
    private final SplittableRandom random;
    private final List<EndpointEpisode> episodes = new ArrayList<>();
    private final AtomicInteger arrivals = new AtomicInteger();
    private final RawEndpointStandIn server;
    private volatile boolean leaving;
    private volatile long startedAtMillis = System.currentTimeMillis();

    private StutteringEndpoint(String id, AnswerLedger ledger, long seed) {
        this.id = id;
        this.ledger = ledger;
        this.random = new SplittableRandom(seed);
        this.server = RawEndpointStandIn.start(this::respond);
    }

    /** Starts an endpoint on a free loopback port. */
    public static StutteringEndpoint start(String id, AnswerLedger ledger, long seed) {
        return new StutteringEndpoint(id, ledger, seed);
    }

    /** Returns the id of this endpoint. */
    public String id() {
        return id;
    }

    /** Registers this endpoint in the store as ready. */
    public void register(StoreStandIn store, String service) {
        store.putEndpoint(id, service, "ready", server.address(), startedAtMillis);
    }

    /** Says in the store that this endpoint is leaving. */
    public void drain(StoreStandIn store, String service) {
        store.putEndpoint(id, service, "draining", server.address(), startedAtMillis);
    }

    /** Removes this endpoint from the store; it goes on serving. */
    public void remove(StoreStandIn store) {
        store.delete("servers/" + id);
    }

    /** Says from now on in each response that this endpoint is leaving. */
    public void sayLeaving() {
        leaving = true;
    }

    /** Starts again under the same id; the endpoint has to be registered after it. */
    public void restart() {
        leaving = false;
        startedAtMillis = Math.max(startedAtMillis + 1, System.currentTimeMillis());
    }

    /** Begins an episode; episodes may overlap. */
    public synchronized void begin(EndpointEpisode episode) {
        episodes.add(episode);
    }

    /** Ends an episode. */
    public synchronized void end(EndpointEpisode episode) {
        episodes.remove(episode);
    }

    /** Ends this endpoint as a crash does; it listens again after {@code awayMillis}. */
    public void crash(long awayMillis) throws IOException {
        server.crash(awayMillis);
    }

    private synchronized SplittableRandom split() {
        return random.split();
    }

    private synchronized EndpointBehavior draw(SplittableRandom own) {
        for (EndpointEpisode e : episodes) {
            if (own.nextDouble() < e.share()) {
                return e.behaviors().get(own.nextInt(e.behaviors().size()));
            }
        }
        return EndpointBehavior.SOUND;
    }

    private void respond(
            RawEndpointStandIn.Request request, RawEndpointStandIn.Connection connection)
            throws IOException {
        if (request.head().startsWith("GET " + HEALTH_PATH)) {
            connection.write(
                    "HTTP/1.1 200 OK\r\nX-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        SplittableRandom own = split();
        EndpointBehavior behavior = named(draw(own), request);
        Arrival arrival = arrival(request, behavior, own);
        ledger.add(arrival);
        pause(delayMillis(request, behavior, own));
        String named = named(arrival, "", arrival.status(), arrival.body());
        String unnamed = response(arrival, "", arrival.status(), arrival.body());
        switch (behavior) {
            case SOUND, FAILED, HELD -> connection.write(named);
            case SHED, MISDIRECTED ->
                    connection.write(
                            named(
                                    arrival,
                                    "X-Not-Executed: 1\r\n",
                                    arrival.status(),
                                    arrival.body()));
            case FAILED_UNNAMED, HELD_UNNAMED -> {
                connection.write(unnamed);
                writeLater(connection, otherResponse(arrival, true), LATE_SUCCESS_MILLIS);
            }
            case REPEATED -> stutter(connection, named, named, own);
            case REPEATED_UNNAMED -> stutter(connection, named, unnamed, own);
            case CONTRADICTED -> stutter(connection, named, otherResponse(arrival, true), own);
            case CONTRADICTED_UNNAMED ->
                    stutter(connection, named, otherResponse(arrival, false), own);
            default -> throw new AssertionError(behavior);
        }
    }

    /** Returns the behavior with an id if the request is the first on its connection. */
    private static EndpointBehavior named(
            EndpointBehavior behavior, RawEndpointStandIn.Request request) {
        if (request.number() > 1) {
            return behavior;
        }
        return switch (behavior) {
            case FAILED_UNNAMED -> EndpointBehavior.FAILED;
            case HELD_UNNAMED -> EndpointBehavior.HELD;
            default -> behavior;
        };
    }

    private Arrival arrival(
            RawEndpointStandIn.Request request, EndpointBehavior behavior, SplittableRandom own) {
        int status =
                switch (behavior) {
                    case SOUND -> OK;
                    case REPEATED, REPEATED_UNNAMED, CONTRADICTED, CONTRADICTED_UNNAMED ->
                            own.nextDouble() < STUTTERED_FAILURE_SHARE ? INTERNAL_ERROR : OK;
                    case FAILED, FAILED_UNNAMED -> INTERNAL_ERROR;
                    case HELD, HELD_UNNAMED -> GATEWAY_TIMEOUT;
                    case SHED -> UNAVAILABLE;
                    case MISDIRECTED -> MISDIRECTED;
                };
        String requestId = request.header("X-Attempt-Id");
        String stamp = id + "." + arrivals.incrementAndGet();
        String body = requestId + " " + stamp + " " + "x".repeat(own.nextInt(MAX_BODY_BYTES));
        return new Arrival(
                requestId,
                id,
                request.number(),
                behavior,
                System.nanoTime(),
                status,
                stamp,
                body,
                leaving);
    }

    private static long delayMillis(
            RawEndpointStandIn.Request request, EndpointBehavior behavior, SplittableRandom own) {
        return switch (behavior) {
            case FAILED, FAILED_UNNAMED -> own.nextInt(MIN_FAILURE_MILLIS, MAX_FAILURE_MILLIS);
            case HELD, HELD_UNNAMED -> {
                String deadline = request.header("X-Deadline-Milliseconds");
                yield deadline.isEmpty() ? 0 : Long.parseLong(deadline);
            }
            case SHED, MISDIRECTED -> 0;
            default -> own.nextInt(MIN_DELAY_MILLIS, MAX_DELAY_MILLIS);
        };
    }

    private static void stutter(
            RawEndpointStandIn.Connection connection,
            String first,
            String second,
            SplittableRandom own)
            throws IOException {
        if (own.nextDouble() < IMMEDIATE_STUTTER_SHARE) {
            connection.write(first + second);
        } else {
            connection.write(first);
            writeLater(connection, second, own.nextInt(MAX_STUTTER_MILLIS));
        }
    }

    private static void writeLater(
            RawEndpointStandIn.Connection connection, String response, long delayMillis) {
        Thread.startVirtualThread(
                () -> {
                    try {
                        pause(delayMillis);
                        connection.write(response);
                    } catch (IOException e) {
                        // The node has closed the connection.
                    }
                });
    }

    /** Returns a response that says the opposite of the recorded one, under the same signature. */
    private static String otherResponse(Arrival arrival, boolean withId) {
        int status = arrival.status() == OK ? INTERNAL_ERROR : OK;
        String body = "another response to " + arrival.requestId();
        return withId ? named(arrival, "", status, body) : response(arrival, "", status, body);
    }

    private static String named(Arrival arrival, String headers, int status, String body) {
        return response(
                arrival, "X-Attempt-Id: " + arrival.requestId() + "\r\n" + headers, status, body);
    }

    private static String response(Arrival arrival, String headers, int status, String body) {
        return "HTTP/1.1 "
                + status
                + " Status\r\nX-Server-Stamp: "
                + arrival.stamp()
                + "\r\n"
                + (arrival.leaving() ? "Server-Leaving: 1\r\n" : "")
                + headers
                + "Content-Type: text/plain\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private static void pause(long millis) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    @Override
    public void close() {
        server.close();
    }
}
