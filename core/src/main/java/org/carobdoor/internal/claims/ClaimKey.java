package org.carobdoor.internal.claims;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import org.carobdoor.ClientAccount;

/**
 * Hashes idempotency keys and maps them to claim logs.
 *
 * <pre>{@code
 * Id128 hash = ClaimKey.hash(account, "bids", "1764820000:lot-17-bid-4");
 * int log = ClaimKey.log(hash);
 * }</pre>
 */
public final class ClaimKey {
    /** The number of claim logs. It is part of the stored format and cannot be changed. */
    public static final int LOGS = 16;

    private ClaimKey() {}

    /** Returns the first 16 bytes of the SHA-256 of account, entry and key. */
    public static Id128 hash(ClientAccount account, String entry, String key) {
        MessageDigest digest = sha256();
        updateWithLength(digest, account.value());
        updateWithLength(digest, entry);
        updateWithLength(digest, key);
        ByteBuffer hash = ByteBuffer.wrap(digest.digest());
        return new Id128(hash.getLong(), hash.getLong());
    }

    /** Returns the number of the claim log that is responsible for {@code hash}. */
    public static int log(Id128 hash) {
        return (int) (hash.high() & (LOGS - 1));
    }

    /** Prefixes the part with its length, so that "a" + "bc" and "ab" + "c" differ. */
    private static void updateWithLength(MessageDigest digest, String part) {
        byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
        digest.update(bytes);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError("every Java platform has SHA-256", e);
        }
    }
}
