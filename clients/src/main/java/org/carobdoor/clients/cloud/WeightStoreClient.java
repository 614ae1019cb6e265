package org.carobdoor.clients.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.time.InstantSource;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;
import org.carobdoor.clients.http.JsonHttpClient;
import org.carobdoor.clients.http.JsonResponse;

/**
 * A client of the platform's weight store. Calls above the store's rate limit fail.
 *
 * <pre>{@code
 * var weights = client.describe("draft", "3", deadline); // NOT_DONE above the rate limit
 * }</pre>
 */
public final class WeightStoreClient implements AutoCloseable {
    private final JsonHttpClient client;

    private WeightStoreClient(JsonHttpClient client) {
        this.client = client;
    }

    /** Creates a client of the weight store at {@code baseUrl}; sends nothing yet. */
    public static WeightStoreClient create(String baseUrl, InstantSource clock) {
        return new WeightStoreClient(new JsonHttpClient(baseUrl, clock));
    }

    /** Describes the weights of a model version; fails with {@code REJECTED} if there are none. */
    public Result<WeightSet> describe(String model, String version, Instant deadline) {
        String step = "weights.describe";
        var url = client.url("weights").addPathSegment(model).addPathSegment(version).build();
        return client.get(step, url, deadline).flatMap(response -> decode(step, response));
    }

    private Result<WeightSet> decode(String step, JsonResponse response) {
        if (!response.isSuccess()) {
            return client.failure(
                    FailureKind.REJECTED, step, "no weights of this model version in the store");
        }
        JsonNode json = response.body();
        return Result.ok(
                new WeightSet(
                        json.path("model").asText(),
                        json.path("version").asText(),
                        json.path("bytes").asLong(),
                        json.path("digest").asText()));
    }

    @Override
    public void close() {
        client.close();
    }
}
