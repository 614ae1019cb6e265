package org.carobdoor.node.endpoint;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;
import org.carobdoor.clients.http.SendTracker;
import org.carobdoor.clients.http.SingleAttemptHttp;

/**
 * HTTP client for endpoints. Sends each call at most once, without retries or redirects.
 *
 * <pre>{@code
 * try (EndpointHttp http = EndpointHttp.create(connectTimeout, progressTimeout)) { ... }
 * }</pre>
 */
public final class EndpointHttp implements AutoCloseable {
    private final OkHttpClient client;

    private EndpointHttp(OkHttpClient client) {
        this.client = client;
    }

    /**
     * Creates a client.
     *
     * @param connectTimeout the timeout for connecting
     * @param progressTimeout the timeout for each read and write on a connection
     */
    public static EndpointHttp create(Duration connectTimeout, Duration progressTimeout) {
        OkHttpClient client =
                SingleAttemptHttp.newBuilder()
                        .connectTimeout(connectTimeout)
                        .readTimeout(progressTimeout)
                        .writeTimeout(progressTimeout)
                        .build();
        return new EndpointHttp(client);
    }

    /** Prepares a call that is cancelled after {@code timeout}. */
    Call prepare(Request request, SendTracker tracker, Duration timeout) {
        Call call = client.newCall(SingleAttemptHttp.withTracker(request, tracker));
        call.timeout().timeout(Math.max(1, timeout.toMillis()), TimeUnit.MILLISECONDS);
        return call;
    }

    /** Executes {@code call}; a failure indicates whether any byte may have been sent. */
    static Result<Response> execute(Call call, SendTracker tracker, String step, String peer) {
        try {
            return Result.ok(call.execute());
        } catch (IOException e) {
            FailureKind kind =
                    tracker.mayHaveBeenSent() ? FailureKind.UNKNOWN : FailureKind.NOT_DONE;
            return Result.err(kind, step, peer, e.toString());
        }
    }

    @Override
    public void close() {
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }
}
