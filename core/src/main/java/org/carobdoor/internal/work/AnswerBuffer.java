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
 * <p>A chunk is added only directly after what is held; others are dropped, because the sender
 * repeats everything that was not acknowledged. The limits of chunks are kept, since text alone
 * does not say where a token ends. Not safe for use by several threads.
 */
final class AnswerBuffer {
    /** Longest answer kept, in characters, so that one request cannot use up a node's memory. */
    static final int MAX_CHARS = 1 << 20;

    /** Most chunks kept: eight bytes each, and a source may push tokens without text. */
    static final int MAX_CHUNKS = 1 << 17;

    private static final int INITIAL_CHUNKS = 8;

    private final StringBuilder text = new StringBuilder();
    private int[] tokenEnds = new int[INITIAL_CHUNKS];
    private int[] charEnds = new int[INITIAL_CHUNKS];
    private int chunks;
    private boolean complete;

    /** Adds a chunk; returns whether it was the next one. */
    boolean add(int offset, int tokens, String chunkText, boolean last) {
        checkArgument(tokens >= 0 && offset >= 0, "negative chunk");
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
     * Returns the position to acknowledge: the number of tokens, plus one for a complete answer, so
     * that an acknowledgement also says whether the end of the answer has arrived.
     */
    int position() {
        return tokens() + (complete ? 1 : 0);
    }

    String text() {
        return text.toString();
    }

    /**
     * Joins the chunks after {@code offset} into one, so that tokens made since the last message
     * cost one chunk. Only tokens that nobody has seen may be joined.
     */
    void joinAfter(int offset) {
        int first = indexAt(offset);
        if (chunks - first > 1) {
            tokenEnds[first] = tokenEnds[chunks - 1];
            charEnds[first] = charEnds[chunks - 1];
            chunks = first + 1;
        }
    }

    /**
     * Returns the tokens from {@code from}, moved down to the start of its chunk, to {@code to}.
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

    /** Returns the chunks from {@code position} on; the end of the answer is marked on the last. */
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

    /** Returns the index of the chunk that holds token {@code offset}. */
    private int indexAt(int offset) {
        int found = Arrays.binarySearch(tokenEnds, 0, chunks, offset);
        int index = found >= 0 ? found + 1 : -found - 1;
        checkInvariant(index <= chunks, "chunk index beyond the answer");
        return index;
    }

    private int tokenStart(int index) {
        return index == 0 ? 0 : tokenEnds[index - 1];
    }

    private int charStart(int index) {
        return index == 0 ? 0 : charEnds[index - 1];
    }
}
