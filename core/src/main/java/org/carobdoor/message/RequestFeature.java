package org.carobdoor.message;

import org.jspecify.annotations.Nullable;

/**
 * A property of a request that other requests may have too, and that may be why an endpoint crashes
 * on it.
 *
 * @param kind what the property is
 * @param id identifies the property among those of its kind
 */
public record RequestFeature(Kind kind, long id) {
    private static final int HEX_RADIX = 16;

    /** What a feature describes. */
    public enum Kind {
        /** A part of a prompt; the id is the one that the caller gives the part. */
        PROMPT_PART("part"),
        /** The method and path of a plain request; the id is their hash. */
        RESOURCE("resource"),
        /** The method, URI and body of a plain request; the id is their hash. */
        CONTENT("content");

        private final String label;

        Kind(String label) {
            this.label = label;
        }
    }

    /** Returns the feature with the text {@code text}, or null if it is none. */
    static @Nullable RequestFeature parse(String text) {
        int separator = text.indexOf('-');
        for (Kind kind : Kind.values()) {
            if (separator == kind.label.length() && text.startsWith(kind.label)) {
                try {
                    String id = text.substring(separator + 1);
                    return new RequestFeature(kind, Long.parseUnsignedLong(id, HEX_RADIX));
                } catch (NumberFormatException e) {
                    return null;
                }
            }
        }
        return null;
    }

    /** Returns the text used in logs and keys, such as {@code part-91bd3f06}. */
    @Override
    public String toString() {
        return kind.label + '-' + Long.toUnsignedString(id, HEX_RADIX);
    }
}
