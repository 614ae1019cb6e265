package org.carobdoor.node.execution;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.carobdoor.Bytes;
import org.carobdoor.ClientAccount;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;
import org.carobdoor.node.endpoint.ServiceRequest;
import org.carobdoor.node.model.ModelRequest;

/** Encodes and decodes payloads as JSON, so that any node can execute them. */
public final class PayloadCodec {
    private static final String SERVICE_KIND = "service";

    private final ObjectMapper mapper;

    /** Creates a codec. */
    public PayloadCodec(ObjectMapper mapper) {
        this.mapper = mapper;
    }

    /** Encodes {@code payload}. */
    public Bytes encode(WorkPayload payload) {
        return switch (payload) {
            case WorkPayload.Model(var request) -> request.encode();
            case WorkPayload.Service(var call) -> encode(call);
        };
    }

    private Bytes encode(SubmittedServiceCall call) {
        ServiceRequest r = call.request();
        ObjectNode json = mapper.createObjectNode();
        json.put("kind", SERVICE_KIND).put("entry", call.entry());
        json.put("account", call.account().value()).put("key", call.key());
        json.put("method", r.method()).put("path", r.pathAndQuery());
        ObjectNode headers = json.putObject("headers");
        r.headers()
                .forEach(
                        (name, values) -> {
                            ArrayNode list = headers.putArray(name);
                            values.forEach(list::add);
                        });
        json.put("body", r.body().toByteArray());
        return Bytes.utf8(json.toString());
    }

    /** Decodes {@code bytes}; the failure describes the problem. */
    public Result<WorkPayload> decode(Bytes bytes) {
        try {
            JsonNode json = mapper.readTree(bytes.toUtf8());
            return Result.ok(
                    json.path("kind").asText().equals(SERVICE_KIND)
                            ? new WorkPayload.Service(decodeServiceCall(json))
                            : new WorkPayload.Model(ModelRequest.decode(mapper, bytes)));
        } catch (JsonProcessingException e) {
            return rejected(e.getOriginalMessage());
        } catch (IOException | RuntimeException e) {
            return rejected(e.toString());
        }
    }

    private static Result<WorkPayload> rejected(String detail) {
        return Result.err(FailureKind.REJECTED, "work.decode", "peer", detail);
    }

    private static SubmittedServiceCall decodeServiceCall(JsonNode json) throws IOException {
        Map<String, List<String>> headers = new LinkedHashMap<>();
        for (var field : json.get("headers").properties()) {
            List<String> values = new ArrayList<>();
            field.getValue().forEach(v -> values.add(v.asText()));
            headers.put(field.getKey(), values);
        }
        ServiceRequest request =
                new ServiceRequest(
                        json.get("method").asText(),
                        json.get("path").asText(),
                        headers,
                        Bytes.of(json.get("body").binaryValue()));
        return new SubmittedServiceCall(
                json.get("entry").asText(),
                new ClientAccount(json.get("account").asText()),
                json.get("key").asText(),
                request);
    }
}
