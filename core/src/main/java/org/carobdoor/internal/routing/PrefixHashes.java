package org.carobdoor.internal.routing;

import java.util.Arrays;
import org.carobdoor.internal.Preconditions;

/**
 * Hashes of the prefixes of a prompt in blocks of equal size. The hash at index {@code i} covers
 * the first {@code i + 1} blocks.
 */
public final class PrefixHashes {
    private static final PrefixHashes EMPTY = new PrefixHashes(new long[0], 1);
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final long[] hashes;
    private final int blockTokens;

    private PrefixHashes(long[] hashes, int blockTokens) {
        this.hashes = hashes;
        this.blockTokens = blockTokens;
    }

    /** Returns the hashes of a prompt that is shorter than one block. */
    public static PrefixHashes empty() {
        return EMPTY;
    }

    /** Returns a copy of {@code hashes} of prefixes in blocks of {@code blockTokens} tokens. */
    public static PrefixHashes of(long[] hashes, int blockTokens) {
        Preconditions.checkArgument(blockTokens > 0, "blockTokens must be positive");
        return new PrefixHashes(hashes.clone(), blockTokens);
    }

    /**
     * Hashes the text of a prompt whose tokens are not known.
     *
     * @param blockChars the number of characters in a block
     * @param blockTokens the number of tokens assumed in a block
     */
    public static PrefixHashes ofText(String prompt, int blockChars, int blockTokens) {
        long[] hashes = new long[prompt.length() / blockChars];
        long hash = FNV_OFFSET;
        for (int i = 0; i < hashes.length * blockChars; i++) {
            hash = (hash ^ prompt.charAt(i)) * FNV_PRIME;
            if ((i + 1) % blockChars == 0) {
                hashes[i / blockChars] = hash;
            }
        }
        return new PrefixHashes(hashes, blockTokens);
    }

    /** Returns the number of blocks. */
    public int size() {
        return hashes.length;
    }

    /** Returns the hash of the first {@code i + 1} blocks. */
    public long at(int i) {
        return hashes[i];
    }

    /** Returns the number of tokens in a block. */
    public int blockTokens() {
        return blockTokens;
    }

    @Override
    public boolean equals(Object o) {
        return o instanceof PrefixHashes p
                && blockTokens == p.blockTokens
                && Arrays.equals(hashes, p.hashes);
    }

    @Override
    public int hashCode() {
        return 31 * Arrays.hashCode(hashes) + blockTokens;
    }

    @Override
    public String toString() {
        return "PrefixHashes[" + hashes.length + " x " + blockTokens + "]";
    }
}
