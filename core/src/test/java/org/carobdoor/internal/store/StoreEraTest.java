package org.carobdoor.internal.store;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.carobdoor.Bytes;
import org.junit.jupiter.api.Test;

/** Guards against answers that are applied in an era in which their numbers mean something else. */
final class StoreEraTest {
    private static final StoreAnswer PAGE =
            new StoreAnswer.Page(List.of(new StoreItem("k", Bytes.utf8("v"), 7)), false, 9);

    private final StoreEra era = StoreEra.create();

    private StoreAnswer answer(StoreAnswer answer, long stated, long sentIn, StoreEra.Call call) {
        era.observe(stated);
        return era.attribute(answer, OptionalLong.of(stated), sentIn, call);
    }

    @Test
    void storeWithoutErasIsServedAsBefore() {
        assertThat(era.observe(0)).isFalse();
        long sentIn = era.atSending();
        StoreAnswer a = era.attribute(PAGE, OptionalLong.empty(), sentIn, StoreEra.Call.FIRST_PAGE);
        assertThat(a).isSameInstanceAs(PAGE);
        assertThat(era.isCurrent(1L << 50)).isTrue();
        assertThat(era.inStore(1L << 50)).isEqualTo(1L << 50);
    }

    @Test
    void revisionsOfALaterEraAreHigher() {
        assertThat(StoreRevision.of(4, 1)).isGreaterThan(StoreRevision.of(3, 1_000_000_000_000L));
        assertThat(StoreRevision.of(8_191, (1L << 40) - 1)).isLessThan(1L << 53);
        assertThat(answer(PAGE, 3, era.atSending(), StoreEra.Call.FIRST_PAGE))
                .isEqualTo(
                        new StoreAnswer.Page(
                                List.of(
                                        new StoreItem(
                                                "k", Bytes.utf8("v"), StoreRevision.of(3, 7))),
                                false,
                                StoreRevision.of(3, 9)));
        assertThat(era.inStore(StoreRevision.of(3, 7))).isEqualTo(7);
        assertThat(era.isCurrent(StoreRevision.of(2, 7))).isFalse();
    }

    @Test
    void firstEraIsNoChangeAndLaterOnesAre() {
        assertThat(era.observe(3)).isFalse();
        assertThat(era.observe(3)).isFalse();
        assertThat(era.observe(4)).isTrue();
        assertThat(era.observe(3)).isFalse();
        assertThat(era.current()).isEqualTo(4);
    }

    @Test
    void lateAnswerOfAFormerEraHasNoEffect() {
        era.observe(3);
        long sentIn = era.atSending();
        era.observe(4);
        for (StoreEra.Call call : StoreEra.Call.values()) {
            assertThat(answer(new StoreAnswer.Written(8), 3, sentIn, call))
                    .isInstanceOf(StoreAnswer.Unknown.class);
        }
        assertThat(era.attribute(PAGE, OptionalLong.empty(), 4, StoreEra.Call.FIRST_PAGE))
                .isInstanceOf(StoreAnswer.Unknown.class);
    }

    @Test
    void answerToACallOfAFormerEraCountsOnlyIfItDependsOnNoNumber() {
        era.observe(3);
        long sentIn = era.atSending();
        StoreAnswer granted = new StoreAnswer.LeaseGranted(5, 3_000);
        assertThat(answer(granted, 4, sentIn, StoreEra.Call.RENEWAL))
                .isEqualTo(new StoreAnswer.Missing());
        assertThat(answer(granted, 4, sentIn, StoreEra.Call.WRITE))
                .isInstanceOf(StoreAnswer.Unknown.class);
        assertThat(answer(PAGE, 4, sentIn, StoreEra.Call.NEXT_PAGE))
                .isEqualTo(new StoreAnswer.HistoryGone());
        assertThat(answer(PAGE, 4, sentIn, StoreEra.Call.FIRST_PAGE))
                .isInstanceOf(StoreAnswer.Page.class);
    }
}
