package org.carobdoor.wire;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.carobdoor.wire.proto.EnvelopeProto.Envelope;

/**
 * Compresses envelopes with statuses of many nodes or with parts of the store, which repeat the
 * same names; uncompressed, they can fill the link of a node that sends them to several others.
 */
final class EnvelopeCompression {
    private static final int MIN_BYTES = 1_000;
    private static final int MAX_EXPANDED_BYTES = 16 << 20;
    private static final int BUFFER_BYTES = 16 << 10;
    private static final boolean WITHOUT_HEADER = true;

    private EnvelopeCompression() {}

    /** Returns the envelope, compressed if it repeats many names and becomes smaller. */
    static Envelope compress(Envelope envelope) {
        boolean repetitive =
                switch (envelope.getPayloadCase()) {
                    case STATUS_BATCH, STORE_MIRROR, STORE_NEWS -> true;
                    default -> false;
                };
        if (!repetitive || envelope.getSerializedSize() < MIN_BYTES) {
            return envelope;
        }
        byte[] plain =
                envelope.toBuilder()
                        .clearMessageId()
                        .setKind(Envelope.Kind.UNSPECIFIED)
                        .build()
                        .toByteArray();
        byte[] deflated = deflate(plain);
        return deflated.length >= plain.length
                ? envelope
                : Envelope.newBuilder()
                        .setMessageId(envelope.getMessageId())
                        .setKind(envelope.getKind())
                        .setDeflated(ByteString.copyFrom(deflated))
                        .build();
    }

    private static byte[] deflate(byte[] plain) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED, WITHOUT_HEADER);
        try {
            deflater.setInput(plain);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream(plain.length / 2);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                out.write(buffer, 0, deflater.deflate(buffer));
            }
            return out.toByteArray();
        } finally {
            deflater.end();
        }
    }

    /**
     * Returns the envelope that {@code compressed} contains.
     *
     * @throws IllegalArgumentException if it contains none, or one that is compressed or too large
     */
    static Envelope expand(Envelope compressed) {
        try {
            Envelope e = Envelope.parseFrom(inflate(compressed.getDeflated().toByteArray()));
            if (!e.getDeflated().isEmpty()) {
                throw new IllegalArgumentException("compressed envelope in a compressed envelope");
            }
            return e;
        } catch (DataFormatException | InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("invalid compressed envelope", e);
        }
    }

    private static byte[] inflate(byte[] deflated) throws DataFormatException {
        Inflater inflater = new Inflater(WITHOUT_HEADER);
        try {
            inflater.setInput(deflated);
            ByteArrayOutputStream out = new ByteArrayOutputStream(4 * deflated.length);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int n = inflater.inflate(buffer);
                out.write(buffer, 0, n);
                if (n == 0 && !inflater.finished()) {
                    throw new DataFormatException("data ends early");
                }
                if (out.size() > MAX_EXPANDED_BYTES) {
                    throw new DataFormatException(
                            "more than " + MAX_EXPANDED_BYTES + " bytes expanded");
                }
            }
            return out.toByteArray();
        } finally {
            inflater.end();
        }
    }
}
