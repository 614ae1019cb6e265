package org.carobdoor.internal.claims;

import java.nio.ByteBuffer;
import java.util.random.RandomGenerator;
import org.carobdoor.Bytes;
import org.carobdoor.internal.Preconditions;

/**
 * A 128-bit identifier: the hash of a key, the token of a claimant or the token of a batch.
 *
 * @param high the first 8 bytes, big endian
 * @param low the last 8 bytes, big endian
 */
public record Id128(long high, long low) {
    /** The size of the encoded identifier in bytes. */
    public static final int BYTES = 16;

    /**
     * Decodes an identifier from exactly 16 bytes.
     *
     * @throws IllegalArgumentException if {@code bytes} has another size
     */
    public static Id128 of(Bytes bytes) {
        Preconditions.checkArgument(bytes.size() == BYTES, "an identifier must have 16 bytes");
        ByteBuffer buffer = ByteBuffer.wrap(bytes.toByteArray());
        return new Id128(buffer.getLong(), buffer.getLong());
    }

    /** Returns a random identifier. */
    public static Id128 random(RandomGenerator random) {
        return new Id128(random.nextLong(), random.nextLong());
    }

    /** Returns the 16 bytes in big-endian order. */
    public Bytes toBytes() {
        return Bytes.of(ByteBuffer.allocate(BYTES).putLong(high).putLong(low).array());
    }

    @Override
    public String toString() {
        return String.format("%016x%016x", high, low);
    }
}
