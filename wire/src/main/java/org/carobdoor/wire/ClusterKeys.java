package org.carobdoor.wire;

import java.util.List;
import java.util.Optional;
import org.carobdoor.Bytes;
import org.carobdoor.internal.Preconditions;

/**
 * The cluster keys that are currently valid. Nodes authenticate with a key that both sides have.
 *
 * <p>To replace a key without a restart, first add the new key after the old one on all nodes, then
 * move it to the front, then remove the old one:
 *
 * <pre>{@code
 * keys.replace(List.of(oldKey, newKey));
 * keys.replace(List.of(newKey, oldKey));
 * keys.replace(List.of(newKey));
 * }</pre>
 *
 * <p>Open connections stay open when their key is removed.
 */
public final class ClusterKeys {
    private volatile List<ClusterKey> current;

    private ClusterKeys(List<ClusterKey> keys) {
        current = keys;
    }

    /**
     * Creates a key set.
     *
     * @param secrets at least one, each of at least 16 bytes; outgoing datagrams are authenticated
     *     with the first
     */
    public static ClusterKeys of(List<Bytes> secrets) {
        return new ClusterKeys(convert(secrets));
    }

    /** Replaces all keys; takes effect with the next datagram and the next connection. */
    public void replace(List<Bytes> secrets) {
        current = convert(secrets);
    }

    ClusterKey first() {
        return current.getFirst();
    }

    List<ClusterKey> all() {
        return current;
    }

    Optional<ClusterKey> find(int id) {
        return current.stream().filter(k -> k.id() == id).findFirst();
    }

    private static List<ClusterKey> convert(List<Bytes> secrets) {
        Preconditions.checkArgument(!secrets.isEmpty(), "at least one cluster key is required");
        return secrets.stream().map(s -> ClusterKey.of(s.toByteArray())).toList();
    }
}
