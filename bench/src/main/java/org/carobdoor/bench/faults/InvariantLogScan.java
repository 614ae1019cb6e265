package org.carobdoor.bench.faults;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.carobdoor.bench.cluster.LocalCluster;

/** Searches the logs of the daemons for invariant violations and out-of-memory errors. */
final class InvariantLogScan {
    private final LocalCluster cluster;
    private final Path runDir;
    private final Violations violations;

    InvariantLogScan(LocalCluster cluster, Path runDir, Violations violations) {
        this.cluster = cluster;
        this.runDir = runDir;
        this.violations = violations;
    }

    void run() throws IOException {
        for (String node : cluster.nodeNames()) {
            Path log = runDir.resolve(node + ".log");
            for (String line : Files.readAllLines(log)) {
                if (line.contains("InvariantViolation") || line.contains("OutOfMemoryError")) {
                    violations.add(node + ": " + line.strip());
                }
            }
        }
    }
}
