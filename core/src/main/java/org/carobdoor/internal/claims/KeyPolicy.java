package org.carobdoor.internal.claims;

import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.UUID;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Validates idempotency keys and determines how long they are remembered.
 *
 * <pre>{@code
 * KeyPolicy.Verdict verdict = policy.check("1764820000:lot-17-bid-4", true, clock.instant());
 * }</pre>
 *
 * <p>A dated key is a UUIDv7 (RFC 9562, section 5.7) or {@code <unix seconds>:<text>}. The same
 * dated key always gets the same {@code rememberUntil}, so that a log can tell that its record may
 * have been trimmed. For this reason all nodes must use the same settings; a longer window applies
 * to keys created after every node uses it.
 *
 * @param window the time after its creation during which a key may be used
 * @param skew the maximum difference between the clocks of callers and nodes
 */
public record KeyPolicy(Duration window, Duration skew) {
    /** A window of 24 hours and a clock skew of 5 minutes. */
    public static final KeyPolicy DEFAULT =
            new KeyPolicy(Duration.ofHours(24), Duration.ofMinutes(5));

    private static final int MAX_LENGTH = 255;

    private static final Pattern SECONDS_AND_TEXT = Pattern.compile("([0-9]{1,12}):(.+)");

    private static final Pattern UUID_V7 =
            Pattern.compile(
                    "\\p{XDigit}{8}-\\p{XDigit}{4}-7\\p{XDigit}{3}-[89abAB]\\p{XDigit}{3}"
                            + "-\\p{XDigit}{12}");

    /** The result of checking a key. */
    public sealed interface Verdict {
        /** The key may be claimed and must be remembered until {@code rememberUntil}. */
        record Accepted(Instant rememberUntil) implements Verdict {}

        /** The key is older than the window, so an earlier call with it may have run. */
        record TooOld(Instant created) implements Verdict {}

        /** The key is invalid, so no call can have run with it. */
        record Malformed(String detail) implements Verdict {}
    }

    /**
     * Checks {@code key}.
     *
     * @param dated whether the key must contain its creation time
     */
    public Verdict check(String key, boolean dated, Instant now) {
        if (key.isBlank() || key.length() > MAX_LENGTH) {
            return new Verdict.Malformed("an Idempotency-Key has 1 to 255 characters");
        }
        if (!dated) {
            return new Verdict.Accepted(roundUpToSeconds(now.plus(window)));
        }
        Optional<Instant> created = creationTime(key);
        if (created.isEmpty()) {
            return new Verdict.Malformed(
                    "the Idempotency-Key must be a UUIDv7 or <unix seconds>:<text>");
        }
        Instant at = created.get();
        if (at.isAfter(now.plus(skew))) {
            return new Verdict.Malformed("the Idempotency-Key is dated in the future: " + at);
        }
        if (at.plus(window).isBefore(now)) {
            return new Verdict.TooOld(at);
        }
        return new Verdict.Accepted(roundUpToSeconds(at.plus(window).plus(skew)));
    }

    /** Returns the creation time contained in {@code key}, if there is one. */
    static Optional<Instant> creationTime(String key) {
        Matcher matcher = SECONDS_AND_TEXT.matcher(key);
        if (matcher.matches()) {
            return parseSeconds(matcher.group(1));
        }
        if (UUID_V7.matcher(key).matches()) {
            long millis = UUID.fromString(key).getMostSignificantBits() >>> 16;
            return Optional.of(Instant.ofEpochMilli(millis));
        }
        return Optional.empty();
    }

    private static Optional<Instant> parseSeconds(String digits) {
        try {
            return Optional.of(Instant.ofEpochSecond(Long.parseLong(digits)));
        } catch (DateTimeException | NumberFormatException e) {
            return Optional.empty();
        }
    }

    /** Rounds up to whole seconds, which records store, so that no key expires early. */
    static Instant roundUpToSeconds(Instant time) {
        return Instant.ofEpochSecond(time.getEpochSecond() + (time.getNano() > 0 ? 1 : 0));
    }
}
