package org.carobdoor.internal.work;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import org.carobdoor.Bytes;
import org.junit.jupiter.api.Test;

/** Guards against answers with missing, duplicate or misplaced tokens. */
final class AnswerBufferTest {

    private static AnswerBuffer buffer() {
        var answer = new AnswerBuffer();
        answer.add(0, 2, "ab", false);
        answer.add(2, 1, "c", false);
        return answer;
    }

    @Test
    void dropsRepeatedAndEarlyChunks() {
        AnswerBuffer answer = buffer();
        assertThat(answer.add(2, 1, "X", false)).isFalse();
        assertThat(answer.add(0, 4, "XXXX", false)).isFalse();
        assertThat(answer.add(5, 1, "X", false)).isFalse();
        assertThat(answer.text()).isEqualTo("abc");
    }

    @Test
    void endIsReportedOnlyOnceItIsReleased() {
        AnswerBuffer answer = buffer();
        answer.add(3, 0, "", true);
        assertThat(answer.slice(0, 3).complete()).isFalse();
        assertThat(answer.slice(0, answer.position()).complete()).isTrue();
    }

    @Test
    void sliceStartsAtStartOfChunk() {
        assertThat(buffer().slice(1, 3)).isEqualTo(new AnswerSlice(0, 3, "abc", false));
        assertThat(buffer().slice(2, 3)).isEqualTo(new AnswerSlice(2, 1, "c", false));
    }

    @Test
    void joinKeepsReleasedChunks() {
        AnswerBuffer answer = buffer();
        answer.add(3, 1, "d", false);
        answer.mergeChunksAfter(2);
        assertThat(answer.chunksFrom("r", 1, 0)).hasSize(2);
        assertThat(answer.slice(2, 4).text()).isEqualTo("cd");
    }

    @Test
    void longAnswerIsRefused() {
        AnswerBuffer answer = buffer();
        assertThat(answer.add(3, 1, "x".repeat(AnswerBuffer.MAX_CHARS), false)).isFalse();
    }

    @Test
    void copyKeepsChunksAndEnd() {
        AnswerBuffer answer = buffer();
        answer.add(3, 0, "", true);
        var request = new WorkRequest("r", Bytes.utf8("prompt"), true, Instant.EPOCH);
        var copy = CopyCodec.decode(CopyCodec.encode(request, 4, answer)).orElseThrow();
        assertThat(copy.request()).isEqualTo(request);
        assertThat(copy.answer().chunksFrom("r", 4, 0)).isEqualTo(answer.chunksFrom("r", 4, 0));
    }
}
