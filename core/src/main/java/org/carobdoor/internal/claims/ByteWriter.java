package org.carobdoor.internal.claims;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;
import org.carobdoor.Bytes;

/** Writes the fields of a stored value. */
final class ByteWriter {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    /** Writes an unsigned number in groups of 7 bits, lowest first. */
    void unsigned(long value) {
        long rest = value;
        while ((rest & ~0x7fL) != 0) {
            out.write((int) (rest & 0x7f) | 0x80);
            rest >>>= 7;
        }
        out.write((int) rest);
    }

    /** Writes a signed number, short if it is near 0. */
    void signed(long value) {
        unsigned((value << 1) ^ (value >> 63));
    }

    void id(Id128 id) {
        out.writeBytes(id.toBytes().toByteArray());
    }

    void text(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        unsigned(bytes.length);
        out.writeBytes(bytes);
    }

    /** Returns everything written, followed by its checksum. */
    Bytes toBytes() {
        byte[] body = out.toByteArray();
        CRC32C sum = new CRC32C();
        sum.update(body);
        ByteBuffer all = ByteBuffer.allocate(body.length + Integer.BYTES);
        return Bytes.of(all.put(body).putInt((int) sum.getValue()).array());
    }
}
