package org.carobdoor.internal.claims;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;
import org.carobdoor.Bytes;

/** Reads the fields of a stored value. Every method fails on a malformed value. */
final class ByteReader {
    private final ByteBuffer in;

    /** Checks the checksum at the end. */
    ByteReader(Bytes value) {
        byte[] all = value.toByteArray();
        check(all.length > Integer.BYTES, "too short");
        int bodyLength = all.length - Integer.BYTES;
        CRC32C sum = new CRC32C();
        sum.update(all, 0, bodyLength);
        check(ByteBuffer.wrap(all).getInt(bodyLength) == (int) sum.getValue(), "wrong checksum");
        in = ByteBuffer.wrap(all, 0, bodyLength);
    }

    long unsigned() {
        long value = 0;
        for (int shift = 0; shift < Long.SIZE; shift += 7) {
            check(in.hasRemaining(), "cut short");
            byte b = in.get();
            value |= (b & 0x7fL) << shift;
            if (b >= 0) {
                return value;
            }
        }
        throw new MalformedValueException("number too long");
    }

    long signed() {
        long value = unsigned();
        return (value >>> 1) ^ -(value & 1);
    }

    /** Reads a number of items, each of which takes at least {@code itemBytes}. */
    int count(int itemBytes) {
        long count = unsigned();
        check(count >= 0 && count <= in.remaining() / itemBytes, "count too large");
        return (int) count;
    }

    Id128 id() {
        check(in.remaining() >= Id128.BYTES, "cut short");
        return new Id128(in.getLong(), in.getLong());
    }

    String text() {
        byte[] bytes = new byte[count(1)];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    void end() {
        check(!in.hasRemaining(), "bytes after the end");
    }

    static void check(boolean condition, String message) {
        if (!condition) {
            throw new MalformedValueException(message);
        }
    }
}
