package org.carobdoor.internal.claims;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.zip.CRC32C;
import org.carobdoor.Bytes;

/** Encodes the fields of a stored value. */
final class ByteWriter {
    private static final int MAX_VARINT_BYTES = 10;

    private ByteBuffer out = ByteBuffer.allocate(1024);

    /** Writes an unsigned varint: groups of 7 bits, least significant first. */
    void writeVarint(long value) {
        reserve(MAX_VARINT_BYTES);
        long rest = value;
        while ((rest & ~0x7fL) != 0) {
            out.put((byte) ((rest & 0x7f) | 0x80));
            rest >>>= 7;
        }
        out.put((byte) rest);
    }

    /** Writes a signed varint in zigzag encoding, which keeps numbers near 0 short. */
    void writeSignedVarint(long value) {
        writeVarint((value << 1) ^ (value >> 63));
    }

    void writeId(Id128 id) {
        reserve(Id128.BYTES);
        out.putLong(id.high()).putLong(id.low());
    }

    void writeString(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        writeVarint(bytes.length);
        reserve(bytes.length);
        out.put(bytes);
    }

    /** Returns the written bytes, followed by their CRC-32C checksum. */
    Bytes toBytes() {
        CRC32C sum = new CRC32C();
        sum.update(out.array(), 0, out.position());
        reserve(Integer.BYTES);
        out.putInt((int) sum.getValue());
        return Bytes.of(Arrays.copyOf(out.array(), out.position()));
    }

    private void reserve(int bytes) {
        if (out.remaining() < bytes) {
            int capacity = Math.max(2 * out.capacity(), out.position() + bytes);
            out = ByteBuffer.allocate(capacity).put(out.flip());
        }
    }
}
