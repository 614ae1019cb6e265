package org.carobdoor.node.endpoint;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.ConnectionPool;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;
import org.carobdoor.clients.http.SendTracker;
import org.carobdoor.clients.http.SingleAttemptHttp;

/**
 * The HTTP client towards endpoints. It sends each call at most once: no retries, no redirects.
 *
 * <pre>{@code
 * try (EndpointHttp http = EndpointHttp.create(connectTimeout, progressTimeout)) { ... }
 * }</pre>
 */
public final class EndpointHttp implements AutoCloseable {
    // One idle connection each for the endpoints of one availability zone at the planned size.
    private static final int MAX_IDLE_CONNECTIONS = 150;
    private static final int IDLE_MINUTES = 2;

    private final OkHttpClient client;

    private EndpointHttp(OkHttpClient client) {
        this.client = client;
    }

    /**
     * Creates a client.
     *
     * @param connectTimeout after which connecting is given up
     * @param progressTimeout after which a connection without a byte from the endpoint is given up
     */
    public static EndpointHttp create(Duration connectTimeout, Duration progressTimeout) {
        OkHttpClient client =
                SingleAttemptHttp.newBuilder()
                        .connectTimeout(connectTimeout)
                        .readTimeout(progressTimeout)
                        .writeTimeout(progressTimeout)
                        .connectionPool(
                                new ConnectionPool(
                                        MAX_IDLE_CONNECTIONS, IDLE_MINUTES, TimeUnit.MINUTES))
                        .build();
        return new EndpointHttp(client);
    }

    /** Prepares a call that is abandoned after {@code timeout}. */
    Call prepare(Request request, SendTracker trace, Duration timeout) {
        Call call = client.newCall(SingleAttemptHttp.withTracker(request, trace));
        call.timeout().timeout(Math.max(1, timeout.toMillis()), TimeUnit.MILLISECONDS);
        return call;
    }

    /** Executes {@code call}; a failure says whether a byte can have been sent. */
    static Result<Response> execute(Call call, SendTracker trace, String step, String peer) {
        try {
            return Result.ok(call.execute());
        } catch (IOException e) {
            FailureKind kind = trace.mayHaveBeenSent() ? FailureKind.UNKNOWN : FailureKind.NOT_DONE;
            return Result.err(kind, step, peer, e.toString());
        }
    }

    @Override
    public void close() {
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }
}
