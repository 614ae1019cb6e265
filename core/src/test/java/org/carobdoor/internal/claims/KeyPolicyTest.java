package org.carobdoor.internal.claims;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.carobdoor.internal.claims.KeyPolicy.Verdict;
import org.junit.jupiter.api.Test;

/** Guards against running a retry that is older than the retention window. */
final class KeyPolicyTest {
    private static final Instant NOW = Instant.ofEpochSecond(1_800_000_000);
    private static final KeyPolicy POLICY = KeyPolicy.DEFAULT;

    @Test
    void secondsAndTextIsRememberedFromItsCreation() {
        assertThat(POLICY.check("1799999000:bid", true, NOW))
                .isEqualTo(
                        new Verdict.Accepted(
                                Instant.ofEpochSecond(1_799_999_000)
                                        .plus(Duration.ofHours(24))
                                        .plus(Duration.ofMinutes(5))));
    }

    @Test
    void uuidV7CarriesItsCreation() {
        // 0x01a3185c5000 ms is 1,800,000,000 s after the epoch.
        assertThat(KeyPolicy.creationTime("01a3185c-5000-7abc-8def-0123456789ab")).hasValue(NOW);
    }

    @Test
    void otherUuidIsNoDatedKey() {
        assertThat(POLICY.check("01a3185c-5000-4abc-8def-0123456789ab", true, NOW))
                .isInstanceOf(Verdict.Malformed.class);
    }

    @Test
    void keyPastTheWindowIsTooOld() {
        Instant created = NOW.minus(Duration.ofHours(24));
        assertThat(POLICY.check(created.getEpochSecond() - 1 + ":x", true, NOW))
                .isInstanceOf(Verdict.TooOld.class);
        assertThat(POLICY.check(created.getEpochSecond() + ":x", true, NOW))
                .isInstanceOf(Verdict.Accepted.class);
    }

    @Test
    void keyFromTheFutureIsMalformed() {
        assertThat(POLICY.check(NOW.getEpochSecond() + 301 + ":x", true, NOW))
                .isInstanceOf(Verdict.Malformed.class);
        assertThat(POLICY.check(NOW.getEpochSecond() + 300 + ":x", true, NOW))
                .isInstanceOf(Verdict.Accepted.class);
    }

    @Test
    void undatedKeyIsAcceptedOnlyIfTheEntryAllowsIt() {
        assertThat(POLICY.check("bid-7", true, NOW)).isInstanceOf(Verdict.Malformed.class);
        assertThat(POLICY.check("bid-7", false, NOW))
                .isEqualTo(new Verdict.Accepted(NOW.plus(Duration.ofHours(24))));
    }
}
