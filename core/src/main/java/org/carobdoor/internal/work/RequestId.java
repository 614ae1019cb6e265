package org.carobdoor.internal.work;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.carobdoor.NodeId;

/**
 * Identifies an accepted request and names its first owner.
 *
 * <p>The text form is {@code <32 hexadecimal digits>.<node id in base64url>}. It needs no escaping
 * in a URL path. The 128 random bits make it unguessable.
 *
 * <pre>{@code
 * RequestId id = RequestId.create(self, SecureRandom.getInstanceStrong());
 * RequestId.parse(id.toString()).map(RequestId::firstOwner);
 * }</pre>
 *
 * @param nonce 32 hexadecimal digits
 * @param firstOwner the node that received the request
 */
public record RequestId(String nonce, NodeId firstOwner) {
    private static final int NONCE_LENGTH = 32;

    /** Returns a new id. Outside tests, {@code random} must be cryptographically secure. */
    public static RequestId create(NodeId firstOwner, RandomGenerator random) {
        return new RequestId(
                "%016x%016x".formatted(random.nextLong(), random.nextLong()), firstOwner);
    }

    /** Parses {@code text}; returns empty if it is not a valid id. */
    public static Optional<RequestId> parse(String text) {
        if (text.length() <= NONCE_LENGTH + 1 || text.charAt(NONCE_LENGTH) != '.') {
            return Optional.empty();
        }
        String nonce = text.substring(0, NONCE_LENGTH);
        if (!nonce.chars().allMatch(c -> (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'))) {
            return Optional.empty();
        }
        try {
            byte[] node = Base64.getUrlDecoder().decode(text.substring(NONCE_LENGTH + 1));
            String id = new String(node, StandardCharsets.UTF_8);
            return id.isBlank()
                    ? Optional.empty()
                    : Optional.of(new RequestId(nonce, new NodeId(id)));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        byte[] node = firstOwner.value().getBytes(StandardCharsets.UTF_8);
        return nonce + "." + Base64.getUrlEncoder().withoutPadding().encodeToString(node);
    }
}
