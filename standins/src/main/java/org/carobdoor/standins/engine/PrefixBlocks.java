package org.carobdoor.standins.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Divides a text into the blocks that an engine's prefix cache keeps.
 *
 * <p>A block is 16 words. Its identifier is the 64-bit FNV-1a hash, in hexadecimal, of all words
 * from the start of the text to the end of the block, joined by single spaces. Two texts share the
 * identifiers of their common whole blocks.
 */
public final class PrefixBlocks {
    /** The number of words in a block. */
    public static final int WORDS = 16;

    private static final Pattern WHITE_SPACE = Pattern.compile("\\s+");

    private PrefixBlocks() {}

    /** Returns the identifiers of the whole blocks of {@code text}, first block first. */
    public static List<String> of(String text) {
        List<String> blocks = new ArrayList<>();
        var prefix = new StringBuilder();
        int words = 0;
        for (String word : WHITE_SPACE.split(text.strip(), -1)) {
            prefix.append(words == 0 ? "" : " ").append(word);
            if (++words % WORDS == 0) {
                blocks.add(Long.toHexString(AnswerText.hash(prefix.toString())));
            }
        }
        return blocks;
    }
}
