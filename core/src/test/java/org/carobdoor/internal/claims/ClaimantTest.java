package org.carobdoor.internal.claims;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Instant;
import java.util.Random;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;
import org.carobdoor.internal.InvariantViolation;
import org.carobdoor.message.ClaimReply;
import org.carobdoor.message.ClaimReply.Outcome;
import org.carobdoor.message.ClaimRequest;
import org.carobdoor.message.ClaimUpdate;
import org.junit.jupiter.api.Test;

/**
 * Guards against sends without a grant, repeated sends, and sends after the deadline or after a
 * release.
 */
final class ClaimantTest {
    private static final Instant BEGIN = Instant.ofEpochSecond(1_800_000_000);
    private static final ClaimRequest REQUEST =
            new ClaimRequest(
                    3,
                    new Id128(1, 2).toBytes(),
                    new Id128(3, 4).toBytes(),
                    BEGIN.plusSeconds(86_400),
                    BEGIN.plusSeconds(2));

    private Instant now = BEGIN;
    private final Claimant claimant = new Claimant(REQUEST, () -> now, new Random(1));

    @Test
    void sendsOnceAfterTheGrant() {
        assertThat(claimant.beginSend()).isFalse();
        grant();
        assertThat(claimant.beginSend()).isTrue();
        assertThat(claimant.beginSend()).isFalse();
    }

    @Test
    void doesNotSendAfterTheDeadline() {
        grant();
        now = REQUEST.deadline();
        assertThat(claimant.beginSend()).isFalse();
    }

    @Test
    void doesNotSendAfterTheRelease() {
        grant();
        claimant.release();
        assertThat(claimant.beginSend()).isFalse();
    }

    @Test
    void isNotReleasedAfterTheSend() {
        grant();
        assertThat(claimant.beginSend()).isTrue();
        assertThrows(InvariantViolation.class, claimant::release);
    }

    @Test
    void repeatsTheSameRequestAtTheNextOwner() {
        ClaimantStep.Ask first = ask();
        claimant.onReply(Result.err(FailureKind.UNKNOWN, "call", "peer", "lost"));
        now = now.plusSeconds(1);
        ClaimantStep.Ask second = ask();

        assertThat(second.message()).isEqualTo(first.message());
        assertThat(second.candidate()).isNotEqualTo(first.candidate());
    }

    @Test
    void releasesWhatMayHaveBeenGrantedByTheDeadline() {
        var unused = ask();
        claimant.onReply(Result.err(FailureKind.UNKNOWN, "call", "peer", "lost"));
        now = REQUEST.deadline();

        assertThat(ask().message())
                .isEqualTo(new ClaimUpdate(3, REQUEST.keyHash(), REQUEST.token(), 0));
        assertThat(claimant.verdict().orElseThrow()).isInstanceOf(ClaimVerdict.Refused.class);
    }

    private ClaimantStep.Ask ask() {
        return (ClaimantStep.Ask) claimant.next();
    }

    private void grant() {
        var unused = ask();
        claimant.onReply(Result.ok(new ClaimReply(Outcome.GRANTED, REQUEST.token(), 0, "")));
        assertThat(claimant.verdict().orElseThrow()).isInstanceOf(ClaimVerdict.Granted.class);
    }
}
