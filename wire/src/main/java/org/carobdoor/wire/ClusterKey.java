package org.carobdoor.wire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.carobdoor.internal.Preconditions;

/** A secret shared by all nodes, used as an HMAC-SHA256 key. */
final class ClusterKey {
    private static final String ALGORITHM = "HmacSHA256";

    /** The MAC is truncated to 128 bits, which resists forgery and saves 16 bytes per frame. */
    static final int MAC_BYTES = 16;

    private final SecretKeySpec spec;
    private final int id;

    private ClusterKey(byte[] secret) {
        Preconditions.checkArgument(
                secret.length >= MAC_BYTES, "cluster key must have at least 16 bytes");
        spec = new SecretKeySpec(secret, ALGORITHM);
        id = ByteBuffer.wrap(computeMac("key-id".getBytes(StandardCharsets.UTF_8))).getInt();
    }

    static ClusterKey of(byte[] secret) {
        return new ClusterKey(secret);
    }

    /**
     * Identifies the key without revealing it. If two keys have the same id, handshakes and
     * datagrams can be rejected, but none is wrongly accepted.
     */
    int id() {
        return id;
    }

    /** Returns the untruncated MAC of the concatenation of {@code parts}. */
    byte[] computeMac(byte[]... parts) {
        Mac mac = newMac();
        for (byte[] part : parts) {
            mac.update(part);
        }
        return mac.doFinal();
    }

    /** Returns a new, reusable MAC instance, which is not thread-safe. */
    Mac newMac() {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(spec);
            return mac;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("HmacSHA256 is not available in this Java runtime", e);
        }
    }
}
