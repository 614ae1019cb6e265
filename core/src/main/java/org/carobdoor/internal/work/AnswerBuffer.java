package org.carobdoor.internal.work;

import static org.carobdoor.internal.Preconditions.checkArgument;
import static org.carobdoor.internal.Preconditions.checkInvariant;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.carobdoor.message.WorkChunk;

/**
 * Assembles an answer from chunks that may be late, repeated or reordered.
 *
 * <p>Only the chunk that continues the stored answer is added; others are dropped, because the
 * sender retransmits everything that was not acknowledged. Chunk boundaries are stored, since the
 * text alone does not show where a token ends. Not thread-safe.
 */
final class AnswerBuffer {
    /** Maximum length of an answer in characters, so that one request cannot exhaust the memory. */
    static final int MAX_CHARS = 1 << 20;

    /**
     * Maximum number of chunks. Each costs eight bytes, and tokens may have no text, so {@link
     * #MAX_CHARS} does not limit them.
     */
    static final int MAX_CHUNKS = 1 << 17;

    private static final int INITIAL_CHUNKS = 8;

    private final StringBuilder text = new StringBuilder();
    private int[] tokenEnds = new int[INITIAL_CHUNKS];
    private int[] charEnds = new int[INITIAL_CHUNKS];
    private int chunks;
    private boolean complete;

    /** Adds a chunk if it is the next one and fits; returns whether it was added. */
    boolean add(int offset, int tokens, String chunkText, boolean last) {
        checkArgument(tokens >= 0 && offset >= 0, "negative chunk offset or token count");
        boolean empty = tokens == 0 && !last;
        if (complete || offset != tokens() || empty || !fits(chunkText)) {
            return false;
        }
        if (tokens > 0) {
            append(tokens, chunkText);
        }
        complete = last;
        return true;
    }

    private void append(int tokens, String chunkText) {
        if (chunks == tokenEnds.length) {
            tokenEnds = Arrays.copyOf(tokenEnds, chunks * 2);
            charEnds = Arrays.copyOf(charEnds, chunks * 2);
        }
        tokenEnds[chunks] = tokens() + tokens;
        text.append(chunkText);
        charEnds[chunks] = text.length();
        chunks++;
    }

    boolean fits(String chunkText) {
        return text.length() + chunkText.length() <= MAX_CHARS && chunks < MAX_CHUNKS;
    }

    /** Returns the number of tokens. */
    int tokens() {
        return chunks == 0 ? 0 : tokenEnds[chunks - 1];
    }

    boolean complete() {
        return complete;
    }

    /**
     * Returns the position to acknowledge: the number of tokens, plus one if the answer is
     * complete, so that an acknowledgement also covers the end of the answer.
     */
    int position() {
        return tokens() + (complete ? 1 : 0);
    }

    String text() {
        return text.toString();
    }

    /**
     * Merges the chunks after {@code offset} into one, so that the tokens generated since the last
     * message need only one chunk. Only tokens that were neither sent nor released may be merged,
     * because readers and copy holders resume at chunk boundaries.
     */
    void mergeChunksAfter(int offset) {
        int first = indexAt(offset);
        if (chunks - first > 1) {
            tokenEnds[first] = tokenEnds[chunks - 1];
            charEnds[first] = charEnds[chunks - 1];
            chunks = first + 1;
        }
    }

    /**
     * Returns the tokens from the start of the chunk that contains {@code from} up to {@code to}.
     */
    AnswerSlice slice(int from, int to) {
        int first = indexAt(from);
        int end = first;
        while (end < chunks && tokenEnds[end] <= to) {
            end++;
        }
        int offset = tokenStart(first);
        String part = text.substring(charStart(first), charStart(end));
        return new AnswerSlice(
                offset, tokenStart(end) - offset, part, complete && to > tokens() && end == chunks);
    }

    /**
     * Returns the chunks from {@code position} on; a complete answer ends with an empty chunk that
     * is marked as the last.
     */
    List<WorkChunk> chunksFrom(String requestId, int epoch, int position) {
        List<WorkChunk> list = new ArrayList<>();
        for (int i = indexAt(position); i < chunks; i++) {
            list.add(
                    new WorkChunk(
                            requestId,
                            epoch,
                            tokenStart(i),
                            tokenEnds[i] - tokenStart(i),
                            text.substring(charStart(i), charEnds[i]),
                            false));
        }
        if (complete && position < position()) {
            list.add(new WorkChunk(requestId, epoch, tokens(), 0, "", true));
        }
        return list;
    }

    /** Returns the index of the chunk that contains token {@code offset}. */
    private int indexAt(int offset) {
        int found = Arrays.binarySearch(tokenEnds, 0, chunks, offset);
        int index = found >= 0 ? found + 1 : -found - 1;
        checkInvariant(index <= chunks, "chunk index exceeds the number of chunks");
        return index;
    }

    private int tokenStart(int index) {
        return index == 0 ? 0 : tokenEnds[index - 1];
    }

    private int charStart(int index) {
        return index == 0 ? 0 : charEnds[index - 1];
    }
}
