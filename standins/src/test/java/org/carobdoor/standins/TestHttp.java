package org.carobdoor.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;

/** An HTTP client for the tests of the stand-ins. */
public final class TestHttp implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /** An HTTP response. */
    public record Response(int status, String body) {

        /** Returns the body as JSON. */
        public JsonNode json() throws IOException {
            return MAPPER.readTree(body);
        }
    }

    /** Sends a GET request. */
    public Response get(String url) throws IOException, InterruptedException {
        return send(HttpRequest.newBuilder(URI.create(url)).GET());
    }

    /** Sends a POST request with a JSON body, written with single quotes for double quotes. */
    public Response post(String url, String json) throws IOException, InterruptedException {
        return send(
                HttpRequest.newBuilder(URI.create(url))
                        .POST(BodyPublishers.ofString(json.replace('\'', '"'))));
    }

    /** Parses JSON that is written with single quotes for double quotes. */
    public static JsonNode json(String text) throws IOException {
        return MAPPER.readTree(text.replace('\'', '"'));
    }

    private Response send(HttpRequest.Builder request) throws IOException, InterruptedException {
        HttpResponse<String> response =
                client.send(
                        request.timeout(Duration.ofSeconds(5)).build(), BodyHandlers.ofString());
        return new Response(response.statusCode(), response.body());
    }

    @Override
    public void close() {
        client.shutdownNow();
    }
}
