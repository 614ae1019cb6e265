package org.carobdoor.internal.store;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.random.RandomGenerator;
import org.carobdoor.Bytes;
import org.carobdoor.message.StoreNews;
import org.junit.jupiter.api.Test;

/** Guards against sources that take the copy back, and against changes lost on the way. */
final class PrefixCopyTest {
    private static final String PREFIX = "servers/";

    private final PrefixCopy sender = loaded(5, written("a", 3), written("b", 5));
    private final PrefixCopy receiver = loaded(5, written("a", 3), written("b", 5));

    private static StoreItem written(String key, long revision) {
        return new StoreItem(key, Bytes.utf8("v" + revision), revision);
    }

    private static PrefixCopy loaded(long revision, StoreItem... items) {
        PrefixCopy copy = PrefixCopy.create(PREFIX);
        copy.load(0, List.of(items), revision);
        return copy;
    }

    private static StoreNews complete(long era, long revision, StoreItem... items) {
        PrefixCopy copy = PrefixCopy.create(PREFIX);
        copy.load(era, List.of(items), revision);
        return copy.newsAfter(0, 0);
    }

    @Test
    void changesFollowOnTheCopyAndAreAppliedOnce() {
        sender.watched(List.of(new StoreChange.Deleted("a", 7)), 9);
        StoreNews news = sender.newsAfter(5, 0);

        assertThat(receiver.receive(news))
                .isEqualTo(new NewsOutcome.Applied(List.of(new StoreChange.Deleted("a", 7)), 9));
        assertThat(receiver.receive(news)).isEqualTo(new NewsOutcome.Applied(List.of(), 9));
    }

    @Test
    void aLostChangeIsAGapUntilItIsSentAgain() {
        sender.watched(List.of(new StoreChange.Written(written("c", 7))), 7);
        sender.watched(List.of(), 8);

        assertThat(receiver.receive(sender.newsAfter(Long.MAX_VALUE, 0)))
                .isEqualTo(new NewsOutcome.Gap());
        assertThat(receiver.revision()).isEqualTo(5);
        receiver.receive(sender.newsAfter(receiver.revision(), 0));
        assertThat(receiver.newsAfter(0, 0).items()).hasSize(3);
        assertThat(receiver.revision()).isEqualTo(8);
    }

    @Test
    void messagesWithoutChangesNeedNoEarlierMessage() {
        sender.watched(List.of(), 50);

        assertThat(receiver.receive(sender.newsAfter(Long.MAX_VALUE, 0)))
                .isEqualTo(new NewsOutcome.Applied(List.of(), 50));
    }

    @Test
    void aSenderThatIsBehindTakesNothingBack() {
        receiver.watched(List.of(new StoreChange.Deleted("b", 8)), 8);

        receiver.receive(sender.newsAfter(Long.MAX_VALUE, 0));
        receiver.receive(complete(0, 6, written("a", 3), written("b", 5)));

        assertThat(receiver.revision()).isEqualTo(8);
        assertThat(receiver.newsAfter(0, 0).items()).hasSize(1);
    }

    @Test
    void aNewEraNeedsAllItemsAndAnOldOneIsDropped() {
        PrefixCopy restored = PrefixCopy.create(PREFIX);
        restored.load(2, List.of(written("a", 1)), 2);
        restored.watched(List.of(new StoreChange.Written(written("d", 3))), 3);

        assertThat(receiver.receive(restored.newsAfter(2, 0))).isEqualTo(new NewsOutcome.Gap());
        assertThat(receiver.receive(complete(2, 3, written("a", 1), written("d", 3))))
                .isInstanceOf(NewsOutcome.Replaced.class);
        assertThat(receiver.revision()).isEqualTo(3);
        assertThat(receiver.receive(sender.newsAfter(5, 0))).isEqualTo(new NewsOutcome.Unusable());
    }

    /** Copies that hear any subset of messages, in any order, agree with the store in the end. */
    @Test
    void randomSourcesConverge() {
        RandomGenerator random = RandomGenerator.of("L64X128MixRandom");
        PrefixCopy far = loaded(5, written("a", 3), written("b", 5));
        for (long r = 6; r < 3_000; r++) {
            String key = "k" + random.nextInt(40);
            StoreChange change =
                    random.nextBoolean()
                            ? new StoreChange.Written(written(key, r))
                            : new StoreChange.Deleted(key, r);
            sender.watched(List.of(change), r);
            long before = far.revision();
            if (random.nextInt(3) == 0) {
                far.receive(sender.newsAfter(r - 1 - random.nextInt(3), 0));
            } else if (random.nextInt(100) == 0) {
                far.receive(sender.newsAfter(far.revision(), 0));
            }
            assertThat(far.revision()).isAtLeast(before);
        }
        far.receive(sender.newsAfter(far.revision(), 0));
        assertThat(far.newsAfter(0, 0).items())
                .containsExactlyElementsIn(sender.newsAfter(0, 0).items());
    }
}
