package org.carobdoor.bench.faults;

import java.util.ArrayList;
import java.util.List;

/** Collects violations of the guarantees of the system. Thread-safe. */
final class Violations {
    private final List<String> all = new ArrayList<>();

    /** Adds a violation and prints it immediately, because the run continues. */
    synchronized void add(String violation) {
        all.add(violation);
        System.out.println("VIOLATION " + violation);
    }

    synchronized List<String> all() {
        return List.copyOf(all);
    }
}
