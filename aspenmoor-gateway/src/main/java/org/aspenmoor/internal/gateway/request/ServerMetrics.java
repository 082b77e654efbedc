package org.aspenmoor.internal.gateway.request;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.function.Supplier;
import org.aspenmoor.internal.serving.BackendState;
import org.aspenmoor.internal.serving.ServerSummary;

/** The metrics of backend servers, as far as an entry knows them. */
final class ServerMetrics {
    private static final double MILLISECONDS_PER_SECOND = 1000;

    private ServerMetrics() {}

    /**
     * Registers the metrics.
     *
     * @param servers supplies the estimated state and load of each backend server
     */
    static void register(PrometheusRegistry registry, Supplier<List<ServerSummary>> servers) {
        registerRequests(registry, servers);
        registerDraining(registry, servers);
        registerVersion(registry, servers);
        registerBackoff(registry, servers);
        LimitMetrics.register(registry, servers);
        registerEventSeconds(registry, servers);
        registerLearnedSlowdown(registry, servers);
        registerStatedSlowdown(registry, servers);
    }

    private static void registerRequests(PrometheusRegistry registry, Supplier<List<ServerSummary>> servers) {
        GaugeWithCallback.builder()
                .name("aspenmoor_server_requests")
                .help("Requests at a backend server, of all entries, by server and role.")
                .labelNames("server", "role")
                .callback(callback -> servers.get()
                        .forEach(summary -> callback.call(
                                summary.load().requests(),
                                summary.server().id(),
                                summary.server().role().name())))
                .register(registry);
    }

    private static void registerDraining(PrometheusRegistry registry, Supplier<List<ServerSummary>> servers) {
        GaugeWithCallback.builder()
                .name("aspenmoor_server_draining")
                .help("Whether a backend server is known to be draining (1) or not (0), by server.")
                .labelNames("server")
                .callback(callback -> servers.get()
                        .forEach(summary -> callback.call(
                                summary.server().state() == BackendState.DRAINING ? 1 : 0,
                                summary.server().id())))
                .register(registry);
    }

    private static void registerVersion(PrometheusRegistry registry, Supplier<List<ServerSummary>> servers) {
        GaugeWithCallback.builder()
                .name("aspenmoor_server_version")
                .help("Always 1; the service and the software version of a backend server, by server.")
                .labelNames("server", "service", "version")
                .callback(callback -> servers.get()
                        .forEach(summary -> callback.call(
                                1,
                                summary.server().id(),
                                summary.server().service(),
                                summary.server().softwareVersion().name())))
                .register(registry);
    }

    private static void registerBackoff(PrometheusRegistry registry, Supplier<List<ServerSummary>> servers) {
        GaugeWithCallback.builder()
                .name("aspenmoor_server_backoff_seconds")
                .help("Seconds for which a backend server wants no requests from this entry, by server.")
                .labelNames("server")
                .callback(callback -> servers.get().stream()
                        .filter(summary -> summary.backoff().isPositive())
                        .forEach(summary -> callback.call(
                                summary.backoff().toMillis() / MILLISECONDS_PER_SECOND,
                                summary.server().id())))
                .register(registry);
    }

    private static void registerLearnedSlowdown(PrometheusRegistry registry, Supplier<List<ServerSummary>> servers) {
        GaugeWithCallback.builder()
                .name("aspenmoor_server_learned_slowdown")
                .help(
                        "Duration of work at a backend server as a multiple of what is expected there, learned from answers,"
                                + " by server.")
                .labelNames("server")
                .callback(callback -> servers.get()
                        .forEach(summary -> callback.call(
                                summary.slowdown(), summary.server().id())))
                .register(registry);
    }

    private static void registerStatedSlowdown(PrometheusRegistry registry, Supplier<List<ServerSummary>> servers) {
        GaugeWithCallback.builder()
                .name("aspenmoor_server_stated_slowdown")
                .help(
                        "Duration of work at a backend server as a multiple of its usual duration there, as the server has"
                                + " stated within the last second, by server.")
                .labelNames("server")
                .callback(callback -> servers.get()
                        .forEach(summary -> summary.statedSlowdown()
                                .ifPresent(stated -> callback.call(
                                        stated.factor(), summary.server().id()))))
                .register(registry);
        GaugeWithCallback.builder()
                .name("aspenmoor_server_lasting_slowdown")
                .help("Duration of work at a backend server outside of slow phases, as it has stated, by server.")
                .labelNames("server")
                .callback(callback -> servers.get()
                        .forEach(summary -> callback.call(
                                summary.lastingSlowdown(), summary.server().id())))
                .register(registry);
        GaugeWithCallback.builder()
                .name("aspenmoor_server_stated_slowdown_age_seconds")
                .help("Seconds since the newest statement of its slowdown by a backend server, by server.")
                .labelNames("server")
                .callback(callback -> servers.get()
                        .forEach(summary -> summary.statedSlowdown()
                                .ifPresent(stated -> callback.call(
                                        stated.age().toMillis() / MILLISECONDS_PER_SECOND,
                                        summary.server().id()))))
                .register(registry);
    }

    private static void registerEventSeconds(PrometheusRegistry registry, Supplier<List<ServerSummary>> servers) {
        GaugeWithCallback.builder()
                .name("aspenmoor_server_event_seconds")
                .help("Seconds from one event of an answer to the next, of all entries, by server.")
                .labelNames("server")
                .callback(callback -> servers.get()
                        .forEach(summary -> summary.load()
                                .secondsPerEvent()
                                .ifPresent(seconds ->
                                        callback.call(seconds, summary.server().id()))))
                .register(registry);
    }
}
