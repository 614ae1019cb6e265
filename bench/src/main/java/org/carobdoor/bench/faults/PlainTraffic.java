package org.carobdoor.bench.faults;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Collectors;

/** Collects the exchanges of all callers of the plain service. Thread-safe. */
final class PlainTraffic {
    private final Queue<PlainExchange> exchanges = new ConcurrentLinkedQueue<>();

    void add(PlainExchange exchange) {
        exchanges.add(exchange);
    }

    List<PlainExchange> exchanges() {
        return List.copyOf(exchanges);
    }

    @Override
    public String toString() {
        Map<String, Long> counts =
                exchanges.stream()
                        .collect(
                                Collectors.groupingBy(
                                        PlainTraffic::result, TreeMap::new, Collectors.counting()));
        return exchanges.size() + " plain requests " + counts;
    }

    private static String result(PlainExchange e) {
        CallerAnswer a = e.answer();
        return a == null ? "broken" : a.status() + (a.stamp().isEmpty() ? " of the node" : "");
    }
}
