package org.carobdoor.internal.resume;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What nodes have recorded in the store of the streams that they started.
 *
 * @param starts the starts, by the id of the request
 * @param mixedServices the services of which several versions served recently
 */
public record StoredStarts(Map<String, StreamStart> starts, Set<String> mixedServices) {
    /** Copies the collections. */
    public StoredStarts {
        starts = Map.copyOf(starts);
        mixedServices = Set.copyOf(mixedServices);
    }

    /** Returns the version that began the stream of request {@code id}, if it is recorded. */
    Optional<String> versionOf(String id, String service) {
        return Optional.ofNullable(starts.get(id))
                .filter(s -> s.service().equals(service))
                .map(StreamStart::version);
    }

    /** Returns the records of all nodes; a start that two have recorded differently is none. */
    public static StoredStarts union(Collection<StoredStarts> ofNodes) {
        Map<String, StreamStart> all = new HashMap<>();
        Set<String> disputed = new HashSet<>();
        Set<String> mixed = new HashSet<>();
        for (StoredStarts s : ofNodes) {
            mixed.addAll(s.mixedServices);
            s.starts.forEach(
                    (id, start) -> {
                        StreamStart other = all.put(id, start);
                        if (other != null && !other.equals(start)) {
                            disputed.add(id);
                        }
                    });
        }
        all.keySet().removeAll(disputed);
        return new StoredStarts(all, mixed);
    }
}
