package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.aspenmoor.internal.organisation.KeyRegistry;

/** One version of the operator's configuration of routes and services; immutable. */
public final class ServingConfiguration {
    private final long version;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<String, ServiceTraits> services = new HashMap<>();
    private final ConnectionLimits limits;
    private final KeyRegistry keys;
    private final int routeCount;
    private final Duration longestTimeout;
    private final Set<String> resumableServices;

    public ServingConfiguration(
            long version, List<Route> routes, List<ServiceTraits> services, ConnectionLimits limits, KeyRegistry keys) {
        this.version = version;
        this.limits = limits;
        this.keys = keys;
        this.routeCount = routes.size();
        for (Route route : routes) {
            routesByHost
                    .computeIfAbsent(route.host(), host -> new ArrayList<>())
                    .add(route);
        }
        this.longestTimeout = routes.stream()
                .map(Route::timeout)
                .max(Comparator.naturalOrder())
                .orElse(Duration.ZERO);
        this.resumableServices = routes.stream()
                .filter(route -> route.streamed() && route.retryRule() == RetryRule.RESUMABLE)
                .flatMap(route -> route.services().stream())
                .collect(Collectors.toUnmodifiableSet());
        Comparator<Route> longestFirst = Comparator.comparingInt(
                        (Route route) -> route.pathPrefix().length())
                .reversed();
        routesByHost.values().forEach(hostRoutes -> hostRoutes.sort(longestFirst));
        for (ServiceTraits service : services) {
            this.services.put(service.name(), service);
        }
    }

    /** Returns the version number, which increases with each change. */
    public long version() {
        return version;
    }

    /** Returns the limits on callers' connections. */
    public ConnectionLimits limits() {
        return limits;
    }

    /** Returns the keys of the organisations. */
    public KeyRegistry keys() {
        return keys;
    }

    public int routeCount() {
        return routeCount;
    }

    /** Returns the longest time that a request of any route may take; zero if there is no route. */
    public Duration longestTimeout() {
        return longestTimeout;
    }

    /** Returns the services whose streams callers may take up again. */
    public Set<String> resumableServices() {
        return resumableServices;
    }

    /** Returns the declared properties of a service. */
    public Optional<ServiceTraits> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns the route of the host with the longest prefix that matches the path. */
    public Optional<Route> match(String host, String path) {
        List<Route> hostRoutes = routesByHost.get(host.toLowerCase(Locale.ROOT));
        if (hostRoutes == null) {
            return Optional.empty();
        }
        for (Route route : hostRoutes) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }
}
