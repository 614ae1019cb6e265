package org.carobdoor.wire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;

/**
 * The computations of the challenge-response handshake. Both sides contribute a nonce, and both the
 * proofs and the keys of the frames depend on everything said before, so nothing can be replayed or
 * reflected.
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

    /** The client's hello goes in as it was sent; lengths keep the parts apart. */
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
        return new FrameMacCodec(fromClient(key, transcript), fromServer(key, transcript), c);
    }

    static FrameMacCodec serverCodec(ClusterKey key, byte[] transcript, TransportCounters c) {
        return new FrameMacCodec(fromServer(key, transcript), fromClient(key, transcript), c);
    }

    static boolean isEqual(byte[] a, byte[] b) {
        return MessageDigest.isEqual(a, b);
    }

    private static ClusterKey fromClient(ClusterKey key, byte[] transcript) {
        return ClusterKey.of(derive(key, "client-to-server", transcript));
    }

    private static ClusterKey fromServer(ClusterKey key, byte[] transcript) {
        return ClusterKey.of(derive(key, "server-to-client", transcript));
    }

    private static byte[] derive(ClusterKey key, String label, byte[] transcript) {
        return key.sign(label.getBytes(StandardCharsets.UTF_8), new byte[1], transcript);
    }
}
