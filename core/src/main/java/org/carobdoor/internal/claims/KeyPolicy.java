package org.carobdoor.internal.claims;

import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.UUID;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Checks idempotency keys and decides how long they are remembered.
 *
 * <pre>{@code
 * KeyPolicy.Verdict verdict = policy.check("1764820000:lot-17-bid-4", true, clock.instant());
 * }</pre>
 *
 * <p>A dated key is a UUIDv7 (RFC 9562, section 5.7) or {@code <unix seconds>:<text>}. The same
 * dated key always gets the same {@code rememberUntil}, so that a log that has forgotten it can
 * tell. All nodes must use the same settings for that reason; a longer window holds for keys
 * created after every node has it.
 *
 * @param window how long after its creation a key may be used
 * @param skew by how much the clocks of callers and nodes may differ
 */
public record KeyPolicy(Duration window, Duration skew) {
    /** 24 hours and 5 minutes. */
    public static final KeyPolicy DEFAULT =
            new KeyPolicy(Duration.ofHours(24), Duration.ofMinutes(5));

    private static final int MAX_LENGTH = 255;

    private static final Pattern SECONDS_AND_TEXT = Pattern.compile("([0-9]{1,12}):(.+)");

    private static final Pattern UUID_V7 =
            Pattern.compile(
                    "\\p{XDigit}{8}-\\p{XDigit}{4}-7\\p{XDigit}{3}-[89abAB]\\p{XDigit}{3}"
                            + "-\\p{XDigit}{12}");

    /** What may be done with a key. */
    public sealed interface Verdict {
        /** The key may be claimed and must be remembered until {@code rememberUntil}. */
        record Accepted(Instant rememberUntil) implements Verdict {}

        /** The key is older than the window, so an earlier call with it may have run. */
        record TooOld(Instant created) implements Verdict {}

        /** The key is no valid key; nothing was run with it. */
        record Malformed(String detail) implements Verdict {}
    }

    /**
     * Checks {@code key}.
     *
     * @param dated whether the key must carry its creation time
     */
    public Verdict check(String key, boolean dated, Instant now) {
        if (key.isBlank() || key.length() > MAX_LENGTH) {
            return new Verdict.Malformed("an Idempotency-Key has 1 to 255 characters");
        }
        if (!dated) {
            return new Verdict.Accepted(wholeSeconds(now.plus(window)));
        }
        Optional<Instant> created = created(key);
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
        return new Verdict.Accepted(wholeSeconds(at.plus(window).plus(skew)));
    }

    /** Returns the creation time that {@code key} carries, if it carries one. */
    static Optional<Instant> created(String key) {
        Matcher matcher = SECONDS_AND_TEXT.matcher(key);
        if (matcher.matches()) {
            return seconds(matcher.group(1));
        }
        if (UUID_V7.matcher(key).matches()) {
            long millis = UUID.fromString(key).getMostSignificantBits() >>> 16;
            return Optional.of(Instant.ofEpochMilli(millis));
        }
        return Optional.empty();
    }

    private static Optional<Instant> seconds(String digits) {
        try {
            return Optional.of(Instant.ofEpochSecond(Long.parseLong(digits)));
        } catch (DateTimeException | NumberFormatException e) {
            return Optional.empty();
        }
    }

    /** Rounds up, since a record keeps whole seconds and must not be forgotten early. */
    static Instant wholeSeconds(Instant time) {
        return Instant.ofEpochSecond(time.getEpochSecond() + (time.getNano() > 0 ? 1 : 0));
    }
}
