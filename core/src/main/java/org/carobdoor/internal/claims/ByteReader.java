package org.carobdoor.internal.claims;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;
import org.carobdoor.Bytes;

/**
 * Decodes the fields of a stored value. Methods throw {@link MalformedValueException} if the value
 * is malformed.
 */
final class ByteReader {
    private final ByteBuffer in;

    /** Verifies the checksum at the end of {@code value}. */
    ByteReader(Bytes value) {
        byte[] all = value.toByteArray();
        check(all.length > Integer.BYTES, "the value is too short");
        int bodyLength = all.length - Integer.BYTES;
        CRC32C sum = new CRC32C();
        sum.update(all, 0, bodyLength);
        check(ByteBuffer.wrap(all).getInt(bodyLength) == (int) sum.getValue(), "checksum mismatch");
        in = ByteBuffer.wrap(all, 0, bodyLength);
    }

    long readVarint() {
        long value = 0;
        for (int shift = 0; shift < Long.SIZE; shift += 7) {
            check(in.hasRemaining(), "the value is truncated");
            byte b = in.get();
            value |= (b & 0x7fL) << shift;
            if (b >= 0) {
                return value;
            }
        }
        throw new MalformedValueException("a number exceeds 64 bits");
    }

    long readSignedVarint() {
        long value = readVarint();
        return (value >>> 1) ^ -(value & 1);
    }

    /**
     * Reads the number of items that follow, each of at least {@code itemBytes}. The lower bound
     * rejects damaged counts before anything is allocated.
     */
    int readCount(int itemBytes) {
        long count = readVarint();
        check(
                count >= 0 && count <= in.remaining() / itemBytes,
                "a count exceeds the remaining bytes");
        return (int) count;
    }

    Id128 readId() {
        check(in.remaining() >= Id128.BYTES, "the value is truncated");
        return new Id128(in.getLong(), in.getLong());
    }

    String readString() {
        byte[] bytes = new byte[readCount(1)];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    void checkEnd() {
        check(!in.hasRemaining(), "unexpected bytes after the last field");
    }

    static void check(boolean condition, String message) {
        if (!condition) {
            throw new MalformedValueException(message);
        }
    }
}
