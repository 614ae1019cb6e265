package org.carobdoor.bench.faults;

import java.util.ArrayList;
import java.util.List;

/** Collects broken promises. Thread-safe. */
final class Violations {
    private final List<String> all = new ArrayList<>();

    /** Adds a violation and prints it at once, since the run goes on. */
    synchronized void add(String violation) {
        all.add(violation);
        System.out.println("VIOLATION " + violation);
    }

    synchronized List<String> all() {
        return List.copyOf(all);
    }
}
