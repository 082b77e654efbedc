package org.aspenmoor.internal.gateway.request;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.aspenmoor.internal.serving.ServerSummary;
import org.aspenmoor.internal.serving.limit.LimitSummary;

/** The metrics of the limits that backend servers state, and of this entry's shares of them. */
final class LimitMetrics {
    private static final double MILLISECONDS_PER_SECOND = 1000;

    private LimitMetrics() {}

    /**
     * Registers the metrics.
     *
     * @param servers supplies the estimated state and load of each backend server
     */
    static void register(PrometheusRegistry registry, Supplier<List<ServerSummary>> servers) {
        registerGauge(
                registry,
                "aspenmoor_server_request_limit",
                "Requests per second that a backend server takes from all entries together, by server.",
                servers,
                limit -> Optional.of(limit.requestsPerSecond()));
        registerGauge(
                registry,
                "aspenmoor_server_request_share",
                "Requests per second that this entry may send to a backend server that states a limit, by server.",
                servers,
                limit -> Optional.of(limit.share()));
        registerGauge(
                registry,
                "aspenmoor_server_limit_entries",
                "Entries among which this entry divides the limit of a backend server, by server.",
                servers,
                limit -> Optional.of((double) limit.entries()));
        registerGauge(
                registry,
                "aspenmoor_server_limit_claims",
                "Other entries whose claims to the limit of a backend server this entry knows, by server.",
                servers,
                limit -> Optional.of((double) limit.claims()));
        registerGauge(
                registry,
                "aspenmoor_server_limit_oldest_claim_seconds",
                "Seconds since this entry has received the oldest claim that it knows, by server.",
                servers,
                limit -> limit.oldestClaim().map(age -> age.toMillis() / MILLISECONDS_PER_SECOND));
    }

    private static void registerGauge(
            PrometheusRegistry registry,
            String name,
            String help,
            Supplier<List<ServerSummary>> servers,
            Function<LimitSummary, Optional<Double>> value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .labelNames("server")
                .callback(callback -> servers.get()
                        .forEach(summary -> summary.limit()
                                .flatMap(value)
                                .ifPresent(number ->
                                        callback.call(number, summary.server().id()))))
                .register(registry);
    }
}
