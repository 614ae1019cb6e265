package org.carobdoor.node.http;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.carobdoor.Member;
import org.carobdoor.internal.burn.EntryBurn;
import org.carobdoor.internal.burn.MissCause;
import org.carobdoor.internal.burn.Window;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.internal.endpoint.EndpointRecord;
import org.carobdoor.internal.routing.EndpointSnapshot;

/** Builds the JSON reports of a node for operators. */
public final class StatusReport {
    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

    private StatusReport() {}

    /** Returns the response body of {@code GET /admin/status}. */
    public static ObjectNode status(
            Member self,
            boolean draining,
            long replicaDigest,
            List<Member> members,
            List<EndpointSnapshot> endpoints,
            List<CatalogueEntry> entries) {
        ObjectNode json = JSON.objectNode();
        json.put("node", self.id().value());
        json.put("zone", self.zone().value());
        json.put("state", draining ? "draining" : "serving");
        json.put("platformReachable", self.platformReachable());
        json.put("replicaDigest", Long.toHexString(replicaDigest));
        ArrayNode memberArray = json.putArray("members");
        members.forEach(member -> memberArray.add(toJson(member)));
        ArrayNode endpointArray = json.putArray("endpoints");
        endpoints.forEach(image -> endpointArray.add(toJson(image)));
        ObjectNode revisions = json.putObject("entries");
        entries.forEach(entry -> revisions.put(entry.name(), entry.revision()));
        return json;
    }

    private static ObjectNode toJson(Member member) {
        return JSON.objectNode()
                .put("id", member.id().value())
                .put("zone", member.zone().value())
                .put("state", member.state().name())
                .put("platformReachable", member.platformReachable());
    }

    private static ObjectNode toJson(EndpointSnapshot image) {
        EndpointRecord r = image.record();
        ObjectNode json =
                JSON.objectNode()
                        .put("id", r.id().value())
                        .put("zone", r.zone().value())
                        .put("service", r.service())
                        .put("state", r.state().name())
                        .put("inFlight", image.ownRequests());
        ArrayNode models = json.putArray("models");
        r.models().stream().sorted().forEach(models::add);
        return json;
    }

    /** Returns the response body of {@code GET /admin/burn}. */
    public static ObjectNode burn(String node, List<EntryBurn> entries) {
        ObjectNode json = JSON.objectNode();
        json.put("node", node);
        ArrayNode entryArray = json.putArray("entries");
        entries.forEach(e -> entryArray.add(toJson(e)));
        return json;
    }

    private static ObjectNode toJson(EntryBurn e) {
        ObjectNode json = JSON.objectNode();
        json.put("name", e.name());
        json.putObject("objective")
                .put("first_token_ms", e.objective().firstTokenMillis())
                .put("token_gap_ms", e.objective().tokenGapMillis())
                .put("target_percent", e.objective().targetPercent());
        json.put("good", e.all().good()).put("total", e.all().total());
        json.put("budgetLeft", e.budgetLeft()).put("urgent", e.isUrgent());
        ObjectNode burn = json.putObject("burn");
        for (Window w : Window.values()) {
            burn.put(w.label(), e.burnRate(w));
        }
        ObjectNode causes = json.putObject("causes");
        for (Map.Entry<MissCause, Long> c : e.causes().entrySet()) {
            causes.put(c.getKey().label(), c.getValue());
        }
        return json.put("cost", e.cost()).put("recomputedTokens", e.recomputedTokens());
    }
}
