package org.carobdoor.internal.work;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import org.carobdoor.Bytes;
import org.carobdoor.message.WorkChunk;
import org.carobdoor.message.WorkCopy;

/**
 * Encodes a request and the answer so far as one {@link WorkCopy}.
 *
 * <p>The chunk boundaries precede the payload. The receiver needs them so that a caller can resume
 * at any offset it has seen; a copy in which they do not match the text is rejected as a whole.
 */
final class CopyCodec {
    private static final byte SUBMITTED = 1;
    private static final byte COMPLETE = 2;
    private static final int HEADER = 1 + Integer.BYTES;

    private CopyCodec() {}

    /** The contents of a copy. */
    record Decoded(WorkRequest request, AnswerBuffer answer) {}

    static WorkCopy encode(WorkRequest request, int epoch, AnswerBuffer answer) {
        List<WorkChunk> chunks = answer.chunksFrom(request.id(), epoch, 0);
        int count = answer.complete() ? chunks.size() - 1 : chunks.size();
        byte[] payload = request.payload().toByteArray();
        var out = ByteBuffer.allocate(HEADER + count * 2 * Integer.BYTES + payload.length);
        out.put(
                (byte)
                        ((request.submitted() ? SUBMITTED : 0)
                                | (answer.complete() ? COMPLETE : 0)));
        out.putInt(count);
        for (WorkChunk chunk : chunks.subList(0, count)) {
            out.putInt(chunk.tokens()).putInt(chunk.text().length());
        }
        out.put(payload);
        return new WorkCopy(
                request.id(),
                epoch,
                Bytes.of(out.array()),
                answer.tokens(),
                answer.text(),
                request.deadline());
    }

    /** Returns the contents, or empty if the copy is malformed. */
    static Optional<Decoded> decode(WorkCopy copy) {
        try {
            var in = ByteBuffer.wrap(copy.request().toByteArray());
            byte flags = in.get();
            int count = in.getInt();
            var answer = new AnswerBuffer();
            int from = 0;
            for (int i = 0; i < count; i++) {
                int tokens = in.getInt();
                int to = from + in.getInt();
                answer.add(answer.tokens(), tokens, copy.text().substring(from, to), false);
                from = to;
            }
            if ((flags & COMPLETE) != 0) {
                answer.add(answer.tokens(), 0, "", true);
            }
            byte[] payload = new byte[in.remaining()];
            in.get(payload);
            boolean consistent = answer.tokens() == copy.offset() && from == copy.text().length();
            var request =
                    new WorkRequest(
                            copy.requestId(),
                            Bytes.of(payload),
                            (flags & SUBMITTED) != 0,
                            copy.deadline());
            return consistent ? Optional.of(new Decoded(request, answer)) : Optional.empty();
        } catch (BufferUnderflowException
                | IndexOutOfBoundsException
                | IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
