package org.carobdoor.node.endpoint;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.Bytes;
import org.carobdoor.EndpointId;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;
import org.carobdoor.internal.endpoint.EndpointRecord;
import org.carobdoor.internal.endpoint.EndpointState;
import org.carobdoor.message.ReplicaItem;

/** Converts endpoint records to and from items of the versioned replica. */
public final class EndpointRecordCodec {
    /** The prefix of the replica keys of endpoint records. */
    public static final String KEY_PREFIX = "endpoint/";

    private final ObjectMapper mapper;

    /** Creates a codec. */
    public EndpointRecordCodec(ObjectMapper mapper) {
        this.mapper = mapper;
    }

    /** Returns the replica item of {@code record}. */
    public ReplicaItem encode(EndpointRecord record) {
        return new ReplicaItem(
                KEY_PREFIX + record.id(), revisionOf(record), false, toBytes(record));
    }

    /**
     * Returns the revision of {@code record}: a later lifecycle state or a reclaim notice has a
     * higher revision on every node.
     */
    public static long revisionOf(EndpointRecord record) {
        return 2L * (record.state().ordinal() + 1) + (record.noticedAt().isPresent() ? 1 : 0);
    }

    /** Decodes the value of an item; a failure describes the error. */
    public Result<EndpointRecord> decode(ReplicaItem item) {
        try {
            JsonNode json = mapper.readTree(item.value().toUtf8());
            Set<String> models = new HashSet<>();
            json.path("models").forEach(m -> models.add(m.asText()));
            InetAddress address = InetAddress.getByName(json.get("address").asText());
            return Result.ok(
                    new EndpointRecord(
                            new EndpointId(json.get("id").asText()),
                            new AvailabilityZone(json.get("zone").asText()),
                            new InetSocketAddress(address, json.get("port").asInt()),
                            json.get("service").asText(),
                            models,
                            json.get("class").asText(),
                            json.get("reclaimable").asBoolean(),
                            json.get("price").asDouble(),
                            json.get("fencing").asBoolean(),
                            EndpointState.valueOf(json.get("state").asText()),
                            instant(json.get("noticed")),
                            instant(json.get("reclaim"))));
        } catch (JsonProcessingException | UnknownHostException | RuntimeException e) {
            return Result.err(
                    FailureKind.REJECTED, "endpoint.decode", "replica", item.key() + ": " + e);
        }
    }

    private Bytes toBytes(EndpointRecord r) {
        ObjectNode json = mapper.createObjectNode();
        json.put("id", r.id().value());
        json.put("zone", r.zone().value());
        json.put("address", r.address().getAddress().getHostAddress());
        json.put("port", r.address().getPort());
        json.put("service", r.service());
        ArrayNode models = json.putArray("models");
        r.models().stream().sorted().forEach(models::add);
        json.put("class", r.machineClass());
        json.put("reclaimable", r.reclaimable());
        json.put("price", r.pricePerHour());
        json.put("fencing", r.checksFencing());
        json.put("state", r.state().name());
        json.put("noticed", r.noticedAt().map(Instant::toEpochMilli).orElse(0L));
        json.put("reclaim", r.reclaimAt().map(Instant::toEpochMilli).orElse(0L));
        return Bytes.utf8(json.toString());
    }

    private static Optional<Instant> instant(JsonNode millis) {
        long value = millis.asLong();
        return value == 0 ? Optional.empty() : Optional.of(Instant.ofEpochMilli(value));
    }
}
