package org.carobdoor.internal.deployment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * One version of the operator's configuration, indexed for lookups while a request is served.
 *
 * <pre>{@code
 * Optional<Route> route = configuration.match("ficu95.example", "/pule252/2f");
 * }</pre>
 */
public final class Configuration {
    private final long version;
    private final CallerLimits callerLimits;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<String, Service> services = new HashMap<>();
    private final List<Account> accounts;
    private final Map<String, Account> accountsByKey = new HashMap<>();

    private Configuration(
            long version,
            List<Route> routes,
            List<Service> services,
            List<Account> accounts,
            CallerLimits callerLimits) {
        this.version = version;
        this.callerLimits = callerLimits;
        this.accounts = List.copyOf(accounts);
        for (Route r : routes) {
            routesByHost.computeIfAbsent(r.host(), h -> new ArrayList<>()).add(r);
        }
        Comparator<Route> longestFirst = Comparator.comparingInt(r -> -r.pathPrefix().length());
        routesByHost.values().forEach(l -> l.sort(longestFirst));
        services.forEach(s -> this.services.put(s.name(), s));
        accounts.forEach(a -> a.keys().forEach(k -> accountsByKey.put(k, a)));
    }

    /** Returns the configuration of {@code version}. */
    public static Configuration of(
            long version,
            List<Route> routes,
            List<Service> services,
            List<Account> accounts,
            CallerLimits limits) {
        return new Configuration(version, routes, services, accounts, limits);
    }

    /** Returns the version number set by the operator; later versions have higher numbers. */
    public long version() {
        return version;
    }

    /** Returns the limits on what a caller may send. */
    public CallerLimits callerLimits() {
        return callerLimits;
    }

    /** Returns the route of {@code host} with the longest prefix that matches {@code path}. */
    public Optional<Route> match(String host, String path) {
        List<Route> routes = routesByHost.getOrDefault(host.toLowerCase(Locale.ROOT), List.of());
        return routes.stream().filter(r -> path.startsWith(r.pathPrefix())).findFirst();
    }

    /** Returns the service named {@code name}. */
    public Optional<Service> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns all services, in no particular order. */
    public List<Service> services() {
        return List.copyOf(services.values());
    }

    /** Returns all client accounts. */
    public List<Account> accounts() {
        return accounts;
    }

    /** Returns whether requests must carry the key of an account. */
    public boolean hasAccounts() {
        return !accounts.isEmpty();
    }

    /** Returns the account that holds {@code key}. */
    public Optional<Account> accountOf(@Nullable String key) {
        return key == null ? Optional.empty() : Optional.ofNullable(accountsByKey.get(key));
    }
}
