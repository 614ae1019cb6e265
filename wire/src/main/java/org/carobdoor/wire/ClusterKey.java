package org.carobdoor.wire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.carobdoor.internal.Preconditions;

/** A secret shared by all nodes, and the computation of HMAC-SHA256 under it. */
final class ClusterKey {
    private static final String ALGORITHM = "HmacSHA256";

    /** 128 bits of the 256 are enough against forgery and save 16 bytes a frame. */
    static final int MAC_BYTES = 16;

    private final SecretKeySpec spec;
    private final int id;

    private ClusterKey(byte[] secret) {
        Preconditions.checkArgument(
                secret.length >= MAC_BYTES, "a cluster key needs at least 16 bytes");
        spec = new SecretKeySpec(secret, ALGORITHM);
        id = ByteBuffer.wrap(sign("key-id".getBytes(StandardCharsets.UTF_8))).getInt();
    }

    static ClusterKey of(byte[] secret) {
        return new ClusterKey(secret);
    }

    /** Names the key without revealing it; equal ids of different keys only cost a refusal. */
    int id() {
        return id;
    }

    /** Returns the full MAC of {@code parts}, one after another. */
    byte[] sign(byte[]... parts) {
        Mac mac = newMac();
        for (byte[] part : parts) {
            mac.update(part);
        }
        return mac.doFinal();
    }

    /** Returns a reusable computation; it serves one thread at a time. */
    Mac newMac() {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(spec);
            return mac;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("HmacSHA256 is missing from this Java runtime", e);
        }
    }
}
