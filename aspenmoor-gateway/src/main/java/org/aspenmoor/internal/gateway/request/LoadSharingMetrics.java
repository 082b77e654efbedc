package org.aspenmoor.internal.gateway.request;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.aspenmoor.internal.serving.StartDelaySummary;

/** The metrics of what entries learn together about the engines and their load. */
public final class LoadSharingMetrics {
    private LoadSharingMetrics() {}

    /**
     * Registers the metrics.
     *
     * @param announcementsSent supplies the number of announcements of load changes that were sent, each to all peers
     * @param announcementsReceived supplies the number of announcements that were received from peers
     * @param startDelays supplies how long answers are expected to take until they start
     */
    public static void register(
            PrometheusRegistry registry,
            LongSupplier announcementsSent,
            LongSupplier announcementsReceived,
            Supplier<List<StartDelaySummary>> startDelays) {
        CounterWithCallback.builder()
                .name("aspenmoor_load_announcements_total")
                .help("Announcements of load changes between two reports, by direction.")
                .labelNames("direction")
                .callback(callback -> {
                    callback.call((double) announcementsSent.getAsLong(), "sent");
                    callback.call((double) announcementsReceived.getAsLong(), "received");
                })
                .register(registry);
        GaugeWithCallback.builder()
                .name("aspenmoor_start_delay_work_factor")
                .help(
                        "How many times longer work takes until answers start than the settings say, by service and role.")
                .labelNames("service", "role")
                .callback(callback -> startDelays
                        .get()
                        .forEach(delay -> callback.call(
                                delay.workFactor(),
                                delay.service(),
                                delay.role().name())))
                .register(registry);
        GaugeWithCallback.builder()
                .name("aspenmoor_start_delay_fixed_seconds")
                .help("Part of the time until answers start that does not depend on work, by service and role.")
                .labelNames("service", "role")
                .callback(callback -> startDelays
                        .get()
                        .forEach(delay -> callback.call(
                                delay.fixedSeconds(),
                                delay.service(),
                                delay.role().name())))
                .register(registry);
    }
}
