package org.carobdoor.clients.http;

import java.io.IOException;
import java.net.Proxy;
import java.time.Duration;
import okhttp3.Call;
import okhttp3.EventListener;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/**
 * Configures OkHttp so that a request is sent at most once, on a connection of its own. Responses
 * do not name their request, so on a shared connection a repeated or late one would be taken for
 * the response to the next request.
 *
 * <pre>{@code
 * OkHttpClient client = SingleAttemptHttp.newBuilder().build();
 * var tracker = new SendTracker();
 * Call call = client.newCall(SingleAttemptHttp.withTracker(request, tracker));
 * // After an IOException, tracker.mayHaveBeenSent() tells whether it may have had an effect.
 * }</pre>
 */
public final class SingleAttemptHttp {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;
    private static final int HTTP_UNAVAILABLE = 503;

    /** More than the largest body that a client of this project accepts. */
    private static final long MAX_LINE_BYTES = 9 << 20;

    private SingleAttemptHttp() {}

    /**
     * Returns a builder of a client without retries, redirects and proxies. The client has only a
     * connect timeout; the caller sets the timeout of each call from its deadline.
     */
    public static OkHttpClient.Builder newBuilder() {
        return new OkHttpClient.Builder()
                .retryOnConnectionFailure(false)
                .followRedirects(false)
                .followSslRedirects(false)
                .fastFallback(false)
                .proxy(Proxy.NO_PROXY)
                .socketFactory(new LineLimitedSocketFactory(MAX_LINE_BYTES))
                .connectTimeout(CONNECT_TIMEOUT)
                .readTimeout(Duration.ZERO)
                .writeTimeout(Duration.ZERO)
                .eventListenerFactory(SingleAttemptHttp::newEventListener)
                .addNetworkInterceptor(
                        chain ->
                                withoutRetryAfter(
                                        checked(chain.proceed(onOwnConnection(chain.request())))));
    }

    // OkHttp does not reuse the connection of a request that has this header.
    private static Request onOwnConnection(Request request) {
        return request.newBuilder().header("Connection", "close").build();
    }

    /**
     * Returns {@code response} if it is valid and its end can be told.
     *
     * @throws IOException if the status is invalid, or if the response ends with its connection and
     *     the request could not be written: the write has met a reset, which the read then takes
     *     for the end
     */
    private static Response checked(Response response) throws IOException {
        SendTracker tracker = response.request().tag(SendTracker.class);
        String failure = null;
        if (response.code() < MIN_STATUS || response.code() > MAX_STATUS) {
            failure = "response with the invalid status " + response.code();
        } else if (tracker != null && tracker.hasWriteFailed() && !isFramed(response)) {
            failure = "connection lost while the request was being written";
        }
        if (failure != null) {
            response.close();
            throw new IOException(failure);
        }
        return response;
    }

    private static boolean isFramed(Response response) {
        return response.header("Content-Length") != null
                || response.header("Transfer-Encoding") != null;
    }

    // OkHttp repeats a request after status 503 with "Retry-After: 0" regardless of
    // retryOnConnectionFailure, so the header is removed before OkHttp evaluates it.
    private static Response withoutRetryAfter(Response response) {
        return response.code() == HTTP_UNAVAILABLE
                ? response.newBuilder().removeHeader("Retry-After").build()
                : response;
    }

    private static EventListener newEventListener(Call call) {
        SendTracker tracker = call.request().tag(SendTracker.class);
        return tracker == null ? EventListener.NONE : new SendEventListener(tracker);
    }

    private static final class SendEventListener extends EventListener {
        private final SendTracker tracker;

        SendEventListener(SendTracker tracker) {
            this.tracker = tracker;
        }

        @Override
        public void requestHeadersStart(Call call) {
            tracker.markSent();
        }

        @Override
        public void requestFailed(Call call, IOException e) {
            tracker.markWriteFailed();
        }
    }

    /** Returns a copy of the request that reports to {@code tracker} when it is sent. */
    public static Request withTracker(Request request, SendTracker tracker) {
        return request.newBuilder().tag(SendTracker.class, tracker).build();
    }
}
