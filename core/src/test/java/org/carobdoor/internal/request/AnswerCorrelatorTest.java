package org.carobdoor.internal.request;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against answers that are attributed to a request which they may not belong to. */
final class AnswerCorrelatorTest {
    private final AnswerCorrelator correlator = AnswerCorrelator.create();

    @Test
    void answerWithoutAnIdIsAttributedOnlyOnAnUnusedConnection() {
        assertThat(correlator.ownerOf(null)).isEqualTo(AnswerOwner.UNKNOWN);
        correlator.onSent("a");
        assertThat(correlator.ownerOf(null)).isEqualTo(AnswerOwner.CURRENT);
        correlator.onSent("b");
        assertThat(correlator.ownerOf(null)).isEqualTo(AnswerOwner.UNKNOWN);
    }

    @Test
    void repeatedAnswerIsAttributedToTheEarlierRequest() {
        correlator.onSent("a");
        correlator.onSent("b");
        assertThat(correlator.ownerOf("a")).isEqualTo(AnswerOwner.EARLIER);
        assertThat(correlator.ownerOf("b")).isEqualTo(AnswerOwner.CURRENT);
    }

    @Test
    void answerThatNamesNoRequestOfTheConnectionIsNotAttributed() {
        correlator.onSent("a");
        assertThat(correlator.ownerOf("other")).isEqualTo(AnswerOwner.UNKNOWN);
        assertThat(correlator.ownerOf("")).isEqualTo(AnswerOwner.UNKNOWN);
    }

    @Test
    void rememberedRequestsAreBounded() {
        for (int i = 0; i <= AnswerCorrelator.MAX_EARLIER_REQUESTS + 1; i++) {
            correlator.onSent("id-" + i);
        }
        assertThat(correlator.ownerOf("id-0")).isEqualTo(AnswerOwner.UNKNOWN);
        assertThat(correlator.ownerOf("id-1")).isEqualTo(AnswerOwner.EARLIER);
    }
}
