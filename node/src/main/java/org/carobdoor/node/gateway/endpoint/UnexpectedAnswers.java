package org.carobdoor.node.gateway.endpoint;

import java.util.EnumMap;
import java.util.Map;
import org.carobdoor.EndpointId;
import org.carobdoor.node.gateway.endpoint.UnexpectedAnswer.Reaction;
import org.carobdoor.node.gateway.log.DecisionLog;

/** Logs and counts the answers of endpoints that are not passed on. Confined to the event loop. */
public final class UnexpectedAnswers {
    private static final String METRIC = "carobdoor_gateway_unexpected_answers";

    private final Map<Reaction, Long> counts = new EnumMap<>(Reaction.class);
    private final DecisionLog log;

    UnexpectedAnswers(DecisionLog log) {
        this.log = log;
    }

    /** Returns the listener for the connections to {@code endpoint}. */
    UnexpectedAnswerListener listener(EndpointId endpoint) {
        return answer -> record(endpoint, answer);
    }

    private void record(EndpointId endpoint, UnexpectedAnswer answer) {
        counts.merge(answer.reaction(), 1L, Long::sum);
        log.line("answer.unexpected")
                .add("endpoint", endpoint)
                .add("reaction", answer.reaction().label())
                .add("status", answer.status())
                .add("id", answer.expectedId())
                .add("seen_id", answer.seenId() == null ? "-" : answer.seenId())
                .add("connection_requests", answer.requestCount())
                .add("sent_ms", answer.sinceSentMillis())
                .write();
    }

    /** Writes the counters as lines of the Prometheus text format. */
    public void write(StringBuilder to) {
        to.append("# TYPE ").append(METRIC).append(" counter\n");
        for (Reaction r : Reaction.values()) {
            to.append(METRIC)
                    .append("_total{reaction=\"")
                    .append(r.label())
                    .append("\"} ")
                    .append(counts.getOrDefault(r, 0L))
                    .append('\n');
        }
    }
}
