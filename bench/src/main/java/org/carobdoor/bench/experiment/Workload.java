package org.carobdoor.bench.experiment;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.carobdoor.ClientAccount;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.internal.catalogue.EntryKind;
import org.carobdoor.internal.catalogue.EntryLimits;
import org.carobdoor.internal.catalogue.EntryObjective;
import org.carobdoor.internal.routing.PrefixHashes;

/**
 * The request mix of one application.
 *
 * @param name the name of the application
 * @param kinds the kinds of requests
 * @param requestsPerSecond the mean total rate of all kinds
 */
record Workload(String name, List<Kind> kinds, double requestsPerSecond) {
    static final int BLOCK_TOKENS = 64;

    /**
     * A kind of request.
     *
     * @param share the share of this kind in all requests
     * @param distinctPrefixes the number of distinct shared prompt prefixes, chosen by a Zipf
     *     distribution
     * @param sharedTokens the length of a shared prefix
     * @param uniqueTokens the mean length of the rest of the prompt
     * @param outputTokens the mean length of the answer
     */
    record Kind(
            CatalogueEntry entry,
            double share,
            int distinctPrefixes,
            int sharedTokens,
            int uniqueTokens,
            int outputTokens) {}

    /** One request. */
    record RequestSpec(
            long number, Kind kind, PrefixHashes prefix, int promptTokens, int outputTokens) {}

    /** Creates the auctions workload: catalogue drafts and answers to bidders. */
    static Workload auctions(double requestsPerSecond) {
        return new Workload(
                "auctions",
                List.of(
                        kind("bidder-live", 1, 0.15, 40, 1_984, 60, 80),
                        kind("bidder-question", 2, 0.5, 40, 1_984, 60, 120),
                        kind("lot-draft", 3, 0.25, 8, 1_024, 700, 400),
                        kind("lot-rework", 4, 0.1, 8, 1_024, 700, 300)),
                requestsPerSecond);
    }

    /** Creates the debating workload: long motion packs and quick motions. */
    static Workload debating(double requestsPerSecond) {
        return new Workload(
                "debating",
                List.of(
                        kind("round-motion", 1, 0.15, 12, 640, 60, 60),
                        kind("quick-motion", 2, 0.45, 12, 640, 60, 80),
                        kind("motion-pack", 3, 0.3, 20, 1_536, 900, 1_200),
                        kind("archive-summary", 4, 0.1, 4, 512, 1_500, 250)),
                requestsPerSecond);
    }

    Workload atRate(double rate) {
        return new Workload(name, kinds, rate);
    }

    private static Kind kind(
            String name, int priority, double share, int topics, int shared, int own, int output) {
        var entry =
                new CatalogueEntry(
                        name,
                        new ClientAccount("account"),
                        EntryKind.MODEL,
                        priority,
                        Set.of("m"),
                        "",
                        "",
                        true,
                        true,
                        new EntryLimits(0, 0, 0, 0),
                        new EntryObjective(1_800, 68, 95),
                        1);
        return new Kind(entry, share, topics, shared, own, output);
    }

    RequestSpec next(long number, SplittableRandom random) {
        double u = random.nextDouble();
        int k = 0;
        while (k < kinds.size() - 1 && u >= kinds.get(k).share) {
            u -= kinds.get(k++).share;
        }
        Kind kind = kinds.get(k);
        int own = 1 + (int) (kind.uniqueTokens * (0.5 + random.nextDouble()));
        int output = Math.max(2, (int) (kind.outputTokens * (0.4 + 1.2 * random.nextDouble())));
        int prompt = kind.sharedTokens + own;
        int topic = drawZipfRank(kind.distinctPrefixes, random);
        long[] hashes = new long[prompt / BLOCK_TOKENS];
        for (int i = 0; i < hashes.length; i++) {
            boolean isShared = (i + 1) * BLOCK_TOKENS <= kind.sharedTokens;
            long seed = isShared ? kind.entry.name().hashCode() * 1_000L + topic : ~number;
            hashes[i] = new SplittableRandom(seed * 1_000_003L + i).nextLong();
        }
        return new RequestSpec(number, kind, PrefixHashes.of(hashes, BLOCK_TOKENS), prompt, output);
    }

    private static int drawZipfRank(int n, SplittableRandom random) {
        double sum = 0;
        for (int i = 1; i <= n; i++) {
            sum += 1.0 / i;
        }
        double u = random.nextDouble() * sum;
        int i = 1;
        while (i < n && u >= 1.0 / i) {
            u -= 1.0 / i++;
        }
        return i;
    }
}
