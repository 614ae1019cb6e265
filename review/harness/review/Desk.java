package review;

/** The configuration of a small bidding desk: two services of plain servers, and one tenant. */
final class Desk {
    static final String HOST = "desk.example";
    static final String KEY = "key-of-tanta";

    private Desk() {}

    /** Returns a configuration with a safe route and two unsafe ones, and the given keys. */
    static String configuration(long version, String tenant, String... keys) {
        return configuration(version, 30_000L, tenant, keys);
    }

    /** Returns such a configuration, with the time-out of the safe route. */
    static String configuration(
            long version, long safeTimeoutMillis, String tenant, String... keys) {
        return """
                {"version":%d,
                 "routes":[%s,%s,%s],
                 "services":[{"name":"desk","healthPath":"/health","maxConnections":96},
                  {"name":"archive","healthPath":"/health","maxConnections":96}],
                 "limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":5000,
                  "idleTimeoutMs":20000},
                 "tenants":[{"name":"%s","apiKeys":["%s"]}]}
                """
                .formatted(
                        version,
                        route("balance", "safe", 2, safeTimeoutMillis),
                        route("bid", "unsafe", 1, 30_000L),
                        route("deed", "unsafe", 1, 30_000L),
                        tenant,
                        String.join("\",\"", keys));
    }

    private static String route(String name, String kind, int attempts, long timeoutMillis) {
        return """
                {"name":"%s","host":"%s","prefix":"/%s/","kind":"%s","timeoutMs":%d,
                 "latencyTargetMs":500,"priority":2,"service":"%s","maxAttempts":%d}"""
                .formatted(name, HOST, name, kind, timeoutMillis,
                        name.equals("deed") ? "archive" : "desk", attempts);
    }
}
