package org.carobdoor.node.gateway.control;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.carobdoor.Bytes;
import org.carobdoor.message.QuarantineEntry;
import org.carobdoor.message.RequestPattern;

/** Encodes and decodes the keys and values of quarantined patterns in the store. */
final class QuarantineRecord {
    private static final Pattern VALUE =
            Pattern.compile(
                    "since=(\\d{1,15}) by=(\\S{1,200}) crashes=(\\d{1,6}) trials=(\\d{1,6})"
                            + " next_trial=(\\d{1,15}) requested=(\\d{1,15})");

    private QuarantineRecord() {}

    static String key(RequestPattern pattern) {
        return NodeStoreKeys.QUARANTINE_PREFIX + pattern;
    }

    /** Returns the pattern that {@code key} belongs to; empty if it belongs to none. */
    static Optional<RequestPattern> pattern(String key) {
        return key.startsWith(NodeStoreKeys.QUARANTINE_PREFIX)
                ? RequestPattern.parse(key.substring(NodeStoreKeys.QUARANTINE_PREFIX.length()))
                : Optional.empty();
    }

    static Bytes encode(QuarantineEntry e) {
        return Bytes.utf8(
                "since="
                        + e.sinceMillis()
                        + " by="
                        + e.node()
                        + " crashes="
                        + e.crashes()
                        + " trials="
                        + e.trials()
                        + " next_trial="
                        + e.nextTrialMillis()
                        + " requested="
                        + e.requestedMillis());
    }

    /** Decodes an entry; empty if the key or the value is malformed. */
    static Optional<QuarantineEntry> decode(String key, Bytes value) {
        Optional<RequestPattern> pattern = pattern(key);
        Matcher m = VALUE.matcher(value.toUtf8());
        if (pattern.isEmpty() || !m.matches()) {
            return Optional.empty();
        }
        return Optional.of(
                new QuarantineEntry(
                        pattern.get(),
                        Long.parseLong(m.group(1)),
                        m.group(2),
                        Integer.parseInt(m.group(3)),
                        Integer.parseInt(m.group(4)),
                        Long.parseLong(m.group(5)),
                        Long.parseLong(m.group(6))));
    }
}
