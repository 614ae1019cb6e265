package org.carobdoor.clients.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.time.InstantSource;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;
import org.carobdoor.clients.http.JsonAnswer;
import org.carobdoor.clients.http.JsonCaller;

/**
 * The client of the platform's weight store, which limits the rate of calls.
 *
 * <pre>{@code
 * var weights = client.describe("draft", "3", deadline); // NOT_DONE above the rate limit
 * }</pre>
 */
public final class WeightStoreClient implements AutoCloseable {
    private final JsonCaller caller;

    private WeightStoreClient(JsonCaller caller) {
        this.caller = caller;
    }

    /** Makes a client of the weight store at {@code baseUrl}; nothing is sent yet. */
    public static WeightStoreClient create(String baseUrl, InstantSource clock) {
        return new WeightStoreClient(new JsonCaller(baseUrl, clock));
    }

    /** Reads what the store has for one version of a model; {@code REJECTED} if it has nothing. */
    public Result<WeightSet> describe(String model, String version, Instant deadline) {
        String step = "weights.describe";
        var url = caller.url("weights").addPathSegment(model).addPathSegment(version).build();
        return caller.get(step, url, deadline).flatMap(answer -> decode(step, answer));
    }

    private Result<WeightSet> decode(String step, JsonAnswer answer) {
        if (!answer.isSuccess()) {
            return caller.failure(FailureKind.REJECTED, step, "no such weights");
        }
        JsonNode json = answer.body();
        return Result.ok(
                new WeightSet(
                        json.path("model").asText(),
                        json.path("version").asText(),
                        json.path("bytes").asLong(),
                        json.path("digest").asText()));
    }

    @Override
    public void close() {
        caller.close();
    }
}
