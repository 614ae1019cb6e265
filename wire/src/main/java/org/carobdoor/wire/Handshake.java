package org.carobdoor.wire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;

/**
 * Cryptographic operations of the challenge-response handshake. Both sides contribute a nonce. The
 * proofs and the frame keys are derived from the whole transcript, which prevents replay and
 * reflection attacks.
 */
final class Handshake {
    static final int VERSION = 1;
    static final int NONCE_BYTES = 16;
    static final int MAX_FRAME_BYTES = 4096;

    private static final SecureRandom RANDOM = new SecureRandom();

    private Handshake() {}

    static byte[] newNonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return nonce;
    }

    /**
     * Returns the transcript that proofs and frame keys are derived from. It contains the client
     * hello as it was sent; each part has a length prefix, so that the encoding is unambiguous.
     */
    static byte[] transcript(byte[] clientHello, String server, byte[] nonce, int keyId) {
        byte[] name = server.getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(16 + clientHello.length + name.length + nonce.length)
                .putInt(clientHello.length)
                .put(clientHello)
                .putInt(name.length)
                .put(name)
                .putInt(nonce.length)
                .put(nonce)
                .putInt(keyId)
                .array();
    }

    static byte[] serverProof(ClusterKey key, byte[] transcript) {
        return derive(key, "server-proof", transcript);
    }

    static byte[] clientProof(ClusterKey key, byte[] transcript) {
        return derive(key, "client-proof", transcript);
    }

    static FrameMacCodec clientCodec(ClusterKey key, byte[] transcript, TransportCounters c) {
        return new FrameMacCodec(
                clientToServerKey(key, transcript), serverToClientKey(key, transcript), c);
    }

    static FrameMacCodec serverCodec(ClusterKey key, byte[] transcript, TransportCounters c) {
        return new FrameMacCodec(
                serverToClientKey(key, transcript), clientToServerKey(key, transcript), c);
    }

    static boolean constantTimeEquals(byte[] a, byte[] b) {
        return MessageDigest.isEqual(a, b);
    }

    private static ClusterKey clientToServerKey(ClusterKey key, byte[] transcript) {
        return ClusterKey.of(derive(key, "client-to-server", transcript));
    }

    private static ClusterKey serverToClientKey(ClusterKey key, byte[] transcript) {
        return ClusterKey.of(derive(key, "server-to-client", transcript));
    }

    private static byte[] derive(ClusterKey key, String label, byte[] transcript) {
        return key.computeMac(label.getBytes(StandardCharsets.UTF_8), new byte[1], transcript);
    }
}
