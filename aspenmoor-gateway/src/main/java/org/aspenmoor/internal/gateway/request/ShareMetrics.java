package org.aspenmoor.internal.gateway.request;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import org.aspenmoor.internal.serving.share.ShareSummary;

/** The metrics of the shares of organisations by service, over all entries. */
public final class ShareMetrics {
    private ShareMetrics() {}

    /**
     * Registers the metrics.
     *
     * @param services supplies a summary of each service
     */
    public static void register(PrometheusRegistry registry, Supplier<List<ShareSummary>> services) {
        register(
                registry,
                "aspenmoor_share_allowed_work_per_second",
                "Work per second that organisations are allowed together, by service; +Inf if they are not limited.",
                services,
                ShareSummary::allowedPerSecond);
        register(
                registry,
                "aspenmoor_share_requested_work_per_second",
                "Work per second that organisations ask for, by service.",
                services,
                ShareSummary::requestedPerSecond);
        register(
                registry,
                "aspenmoor_share_completed_work_per_second",
                "Work per second of organisations whose answers start, by service.",
                services,
                ShareSummary::completedPerSecond);
        register(
                registry,
                "aspenmoor_share_turned_away_work_per_second",
                "Admitted work per second of organisations that is refused for lack of room, by service.",
                services,
                ShareSummary::turnedAwayPerSecond);
    }

    private static void register(
            PrometheusRegistry registry,
            String name,
            String help,
            Supplier<List<ShareSummary>> services,
            ToDoubleFunction<ShareSummary> figure) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .labelNames("service")
                .callback(callback -> services.get()
                        .forEach(summary -> callback.call(figure.applyAsDouble(summary), summary.service())))
                .register(registry);
    }
}
