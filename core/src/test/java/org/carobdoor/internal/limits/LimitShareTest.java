package org.carobdoor.internal.limits;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import org.carobdoor.Result;
import org.carobdoor.message.AllotmentReply;
import org.junit.jupiter.api.Test;

/** Guards against a grant being used outside its own window. */
final class LimitShareTest {
    private static final Instant BEGIN = Instant.ofEpochSecond(1_800_000_000);

    private final LimitShare share = new LimitShare(LimitKind.REQUESTS_PER_SECOND, BEGIN);

    @Test
    void grantIsUsedInItsWindow() {
        share.onReply(Result.ok(new AllotmentReply("l", 5, BEGIN.plusSeconds(1))), 5, BEGIN);

        assertThat(share.tryUse(5, 100, 1, BEGIN.plusMillis(999))).isTrue();
        assertThat(share.tryUse(1, 100, 1, BEGIN.plusMillis(999))).isFalse();
    }

    @Test
    void grantThatArrivesAfterItsWindowIsNotUsed() {
        Instant late = BEGIN.plusMillis(1001);
        share.onReply(Result.ok(new AllotmentReply("l", 80, BEGIN.plusSeconds(1))), 80, late);

        assertThat(share.tryUse(80, 100, 1, late)).isFalse();
    }
}
