package org.carobdoor.standins.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Divides a text into the blocks of an engine's prefix cache.
 *
 * <p>A block is 16 words. Its identifier is the 64-bit FNV-1a hash, in hexadecimal, of all words
 * from the start of the text to the end of the block, joined by single spaces. Two texts with a
 * common prefix share the identifiers of its whole blocks.
 */
public final class PrefixBlocks {
    /** The number of words in a block. */
    public static final int WORDS_PER_BLOCK = 16;

    private static final Pattern WHITE_SPACE = Pattern.compile("\\s+");

    private PrefixBlocks() {}

    /** Returns the identifiers of the whole blocks of {@code text}, in the order of the text. */
    public static List<String> of(String text) {
        List<String> blocks = new ArrayList<>();
        var prefix = new StringBuilder();
        int words = 0;
        for (String word : WHITE_SPACE.split(text.strip(), -1)) {
            prefix.append(words == 0 ? "" : " ").append(word);
            if (++words % WORDS_PER_BLOCK == 0) {
                blocks.add(Long.toHexString(AnswerText.hash(prefix.toString())));
            }
        }
        return blocks;
    }
}
