package org.carobdoor.node.endpoint;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import okhttp3.Call;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;
import org.carobdoor.Bytes;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;
import org.carobdoor.clients.http.SendTracker;
import org.carobdoor.internal.endpoint.EndpointRecord;

/**
 * Calls plain services. Each call is sent at most once.
 *
 * <pre>{@code
 * Result<ServiceAnswer> answer = services.call(endpoint, request, deadline);
 * }</pre>
 */
public final class ServiceClient {
    private final EndpointHttp http;
    private final InstantSource clock;
    private final long maxAnswerBytes;

    /**
     * Creates a client.
     *
     * @param maxAnswerBytes the maximum size of a response body, in bytes
     */
    public ServiceClient(EndpointHttp http, InstantSource clock, long maxAnswerBytes) {
        this.http = http;
        this.clock = clock;
        this.maxAnswerBytes = maxAnswerBytes;
    }

    /**
     * Sends {@code request} to {@code endpoint} and waits for the response until {@code deadline}.
     *
     * @return the response; a failure of kind {@link FailureKind#NOT_DONE} if no byte was sent, or
     *     {@link FailureKind#UNKNOWN} if the call may have run
     */
    public Result<ServiceAnswer> call(
            EndpointRecord endpoint, ServiceRequest request, Instant deadline) {
        String peer = endpoint.address().toString();
        SendTracker tracker = new SendTracker();
        Duration timeout = Duration.between(clock.instant(), deadline);
        if (timeout.isNegative() || timeout.isZero()) {
            return Result.err(
                    FailureKind.NOT_DONE, "service.call", peer, "the deadline has passed");
        }
        Call call = http.prepare(httpRequest(endpoint, request), tracker, timeout);
        return EndpointHttp.execute(call, tracker, "service.call", peer)
                .flatMap(response -> read(response, peer));
    }

    private static Request httpRequest(EndpointRecord endpoint, ServiceRequest request) {
        Request.Builder b =
                new Request.Builder().url(EndpointUrls.of(endpoint, request.pathAndQuery()));
        request.headers()
                .forEach((name, values) -> values.forEach(value -> b.addHeader(name, value)));
        boolean hasBody = !List.of("GET", "HEAD").contains(request.method());
        RequestBody body = hasBody ? RequestBody.create(request.body().toByteArray(), null) : null;
        return b.method(request.method(), body).build();
    }

    private Result<ServiceAnswer> read(Response response, String peer) {
        try (response) {
            BufferedSource source = response.body().source();
            if (source.request(maxAnswerBytes + 1)) {
                return Result.err(
                        FailureKind.UNKNOWN,
                        "service.read",
                        peer,
                        "the response body exceeds " + maxAnswerBytes + " B");
            }
            byte[] body = source.readByteArray();
            return Result.ok(new ServiceAnswer(response.code(), headers(response), Bytes.of(body)));
        } catch (IOException e) {
            return Result.err(FailureKind.UNKNOWN, "service.read", peer, e.toString());
        }
    }

    private static Map<String, List<String>> headers(Response response) {
        Map<String, List<String>> headers = new LinkedHashMap<>();
        for (String name : response.headers().names()) {
            if (ForwardedHeaders.inAnswer(name)) {
                headers.put(name, response.headers(name));
            }
        }
        return headers;
    }
}
