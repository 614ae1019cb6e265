package org.carobdoor;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * An immutable sequence of bytes with value equality.
 *
 * <pre>{@code
 * Bytes value = Bytes.utf8("kind = \"model\"");
 * }</pre>
 */
public final class Bytes {
    private static final Bytes EMPTY = new Bytes(new byte[0]);

    private final byte[] array;

    private Bytes(byte[] array) {
        this.array = array;
    }

    /** Returns the empty sequence. */
    public static Bytes empty() {
        return EMPTY;
    }

    /** Returns a copy of {@code array}. */
    public static Bytes of(byte[] array) {
        return new Bytes(array.clone());
    }

    /** Returns the UTF-8 encoding of {@code text}. */
    public static Bytes utf8(String text) {
        return new Bytes(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns a copy of the bytes. */
    public byte[] toByteArray() {
        return array.clone();
    }

    /** Decodes the bytes as UTF-8. */
    public String toUtf8() {
        return new String(array, StandardCharsets.UTF_8);
    }

    /** Returns the number of bytes. */
    public int size() {
        return array.length;
    }

    @Override
    public boolean equals(Object o) {
        return o instanceof Bytes b && Arrays.equals(array, b.array);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(array);
    }

    @Override
    public String toString() {
        return "Bytes[" + array.length + "]";
    }
}
