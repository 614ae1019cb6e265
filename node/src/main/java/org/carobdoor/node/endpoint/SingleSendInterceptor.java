package org.carobdoor.node.endpoint;

import java.io.IOException;
import okhttp3.Interceptor;
import okhttp3.Response;

/**
 * Lets each call reach the network once and records when it does.
 *
 * <p>OkHttp repeats a call that was answered with 503 and {@code Retry-After: 0} whatever its
 * settings. The header is removed before OkHttp sees it, and a second send of the same call fails.
 */
final class SingleSendInterceptor implements Interceptor {
    private static final int SERVICE_UNAVAILABLE = 503;

    @Override
    public Response intercept(Chain chain) throws IOException {
        SendTracker tracker = chain.request().tag(SendTracker.class);
        if (tracker != null && !tracker.start()) {
            throw new IOException("a repeated send was refused");
        }
        Response response = chain.proceed(chain.request());
        if (response.code() == SERVICE_UNAVAILABLE) {
            return response.newBuilder().removeHeader("Retry-After").build();
        }
        return response;
    }
}
