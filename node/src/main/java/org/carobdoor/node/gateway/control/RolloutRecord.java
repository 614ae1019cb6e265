package org.carobdoor.node.gateway.control;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.carobdoor.Bytes;
import org.carobdoor.internal.rollout.AnswerCounts;
import org.carobdoor.internal.rollout.RolloutPhase;
import org.carobdoor.internal.rollout.RolloutState;

/** Encodes and decodes the states of roll-outs in the store. */
final class RolloutRecord {
    private RolloutRecord() {}

    static String key(String service) {
        return NodeStoreKeys.ROLLOUTS_PREFIX + service;
    }

    static Bytes encode(RolloutState s) {
        AnswerCounts a = s.answers();
        return Bytes.utf8(
                String.join(
                        " ",
                        "to=" + escape(s.to()),
                        "phase=" + s.phase(),
                        "share=" + s.share(),
                        "reason=" + escape(s.reason()),
                        "order=" + s.orderRevision(),
                        "duration_ms=" + s.durationMillis(),
                        "deadline_ms=" + s.deadlineMillis(),
                        "since_ms=" + s.phaseSinceMillis(),
                        "old=" + escape(s.oldVersions()),
                        "barred=" + escape(s.barred()),
                        "new_answers=" + a.newAnswers(),
                        "new_failures=" + a.newFailures(),
                        "old_answers=" + a.oldAnswers(),
                        "old_failures=" + a.oldFailures()));
    }

    /** Decodes a state; empty if the key or the value is malformed. */
    static Optional<RolloutState> decode(String key, Bytes value) {
        String service = key.substring(NodeStoreKeys.ROLLOUTS_PREFIX.length());
        Map<String, String> fields = new HashMap<>();
        for (String field : value.toUtf8().split(" ")) {
            int separator = field.indexOf('=');
            if (separator > 0) {
                fields.put(field.substring(0, separator), field.substring(separator + 1));
            }
        }
        try {
            return Optional.of(
                    new RolloutState(
                            service,
                            text(fields, "to"),
                            number(fields, "order"),
                            number(fields, "duration_ms"),
                            number(fields, "deadline_ms"),
                            RolloutPhase.valueOf(text(fields, "phase")),
                            number(fields, "since_ms"),
                            Math.clamp(Double.parseDouble(text(fields, "share")), 0.0, 1.0),
                            list(fields, "old"),
                            list(fields, "barred"),
                            new AnswerCounts(
                                    number(fields, "new_answers"),
                                    number(fields, "new_failures"),
                                    number(fields, "old_answers"),
                                    number(fields, "old_failures")),
                            text(fields, "reason")));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static String text(Map<String, String> fields, String name) {
        String value = fields.get(name);
        if (value == null) {
            throw new IllegalArgumentException(name + " is missing");
        }
        return URLDecoder.decode(value, StandardCharsets.UTF_8);
    }

    private static long number(Map<String, String> fields, String name) {
        return Long.parseLong(text(fields, name));
    }

    private static List<String> list(Map<String, String> fields, String name) {
        String value = fields.getOrDefault(name, "");
        return value.isEmpty()
                ? List.of()
                : Arrays.stream(value.split(",", -1))
                        .map(v -> URLDecoder.decode(v, StandardCharsets.UTF_8))
                        .toList();
    }

    private static String escape(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private static String escape(List<String> texts) {
        return texts.stream().map(RolloutRecord::escape).collect(Collectors.joining(","));
    }
}
