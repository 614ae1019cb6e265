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

/** A small HTTP client for the tests of the stand-ins. */
public final class TestHttp implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /** An answer: its status and its body. */
    public record Answer(int status, String body) {

        /** Returns the body as JSON. */
        public JsonNode json() throws IOException {
            return MAPPER.readTree(body);
        }
    }

    /** Sends a GET request. */
    public Answer get(String url) throws IOException, InterruptedException {
        return send(HttpRequest.newBuilder(URI.create(url)).GET());
    }

    /** Sends a POST request with a JSON body in which single quotes stand for double ones. */
    public Answer post(String url, String json) throws IOException, InterruptedException {
        return send(
                HttpRequest.newBuilder(URI.create(url))
                        .POST(BodyPublishers.ofString(json.replace('\'', '"'))));
    }

    /** Parses JSON in which single quotes stand for double ones. */
    public static JsonNode json(String text) throws IOException {
        return MAPPER.readTree(text.replace('\'', '"'));
    }

    private Answer send(HttpRequest.Builder request) throws IOException, InterruptedException {
        HttpResponse<String> response =
                client.send(
                        request.timeout(Duration.ofSeconds(5)).build(), BodyHandlers.ofString());
        return new Answer(response.statusCode(), response.body());
    }

    @Override
    public void close() {
        client.shutdownNow();
    }
}
