package org.carobdoor.clients.catalogue;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Instant;
import java.util.HexFormat;

/**
 * A change in the history of an entry.
 *
 * @param revision the revision that the change created
 * @param changedBy the author of the change
 * @param changedAt when the change was made
 * @param removed whether the change removed the entry
 * @param digest the SHA-256 digest of the text, in hexadecimal
 * @param text the text of the entry
 */
public record EntryChange(
        long revision,
        String changedBy,
        Instant changedAt,
        boolean removed,
        String digest,
        String text) {

    static EntryChange of(StoredEntry entry) {
        return new EntryChange(
                entry.revision(),
                entry.changedBy(),
                entry.changedAt(),
                entry.removed(),
                digest(entry.text()),
                entry.text());
    }

    private static String digest(String text) {
        try {
            byte[] hash =
                    MessageDigest.getInstance("SHA-256")
                            .digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
