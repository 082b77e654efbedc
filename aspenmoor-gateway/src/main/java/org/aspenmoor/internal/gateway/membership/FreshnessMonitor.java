package org.aspenmoor.internal.gateway.membership;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.serving.freshness.FreshnessStatus;
import org.aspenmoor.internal.serving.freshness.ObservedCollection;
import org.aspenmoor.internal.serving.freshness.StoreFreshness;
import org.aspenmoor.internal.time.TimeSource;

/**
 * Shows operators how an entry follows the store: metrics, and a line in the log when other entries stop confirming
 * what it knows, and when they confirm it again.
 */
public final class FreshnessMonitor {
    /** With many lost reports, an entry may fall back several times per second. */
    private static final Duration MIN_LOG_INTERVAL = Duration.ofSeconds(10);

    private static final double MILLISECONDS_PER_SECOND = 1000;

    private final StoreFreshness freshness;
    private final Executor eventLoop;
    private final Runnable reportNow;
    private final DecisionLog log;
    private final Map<ObservedCollection, LoggedState> logged = new EnumMap<>(ObservedCollection.class);

    /**
     * Registers the metrics.
     *
     * @param reportNow sends a report to the other entries at once; called on the event loop
     */
    public FreshnessMonitor(
            StoreFreshness freshness,
            Executor eventLoop,
            Runnable reportNow,
            DecisionLog log,
            PrometheusRegistry registry,
            TimeSource time) {
        this.freshness = freshness;
        this.eventLoop = eventLoop;
        this.reportNow = reportNow;
        this.log = log;
        registerMetrics(registry, time);
    }

    /** Returns what receives the content of a collection as this entry reads it. */
    public CollectionObserver observer(ObservedCollection collection) {
        return new CollectionObserver(freshness.of(collection), eventLoop, reportNow);
    }

    /**
     * Records a periodic run of the event loop.
     *
     * @param interval time until the next run
     */
    public void eventLoopRan(Duration interval, long now) {
        freshness.eventLoopRan(interval, now);
        freshness.statuses(now).forEach(status -> logChange(status, now));
    }

    private void logChange(FreshnessStatus status, long now) {
        LoggedState before =
                logged.getOrDefault(status.collection(), new LoggedState(false, now - MIN_LOG_INTERVAL.toNanos()));
        boolean tooSoon = now - before.loggedAt() < MIN_LOG_INTERVAL.toNanos();
        if (before.confirmed() == status.confirmedByPeers() || tooSoon) {
            return;
        }
        logged.put(status.collection(), new LoggedState(status.confirmedByPeers(), now));
        log.notable(status.confirmedByPeers() ? "store-view-confirmed" : "store-view-unconfirmed")
                .with("following", label(status))
                .with("ageMs", status.age().map(Duration::toMillis).orElse(-1L))
                .with("observersBefore", status.observers())
                .write();
    }

    private void registerMetrics(PrometheusRegistry registry, TimeSource time) {
        CounterWithCallback.builder()
                .name("aspenmoor_store_polls_total")
                .help("Polls of the store for changes, by collection and reason.")
                .labelNames("collection", "reason")
                .callback(callback -> freshness
                        .statuses(time.monotonicNanos())
                        .forEach(status -> status.polls()
                                .forEach((reason, count) -> callback.call(
                                        count, label(status), reason.name().toLowerCase(Locale.ROOT)))))
                .register(registry);
        GaugeWithCallback.builder()
                .name("aspenmoor_store_confirmation_age_seconds")
                .help("Time since the known state was last confirmed, by this entry or another one, by collection.")
                .labelNames("collection")
                .callback(callback -> freshness
                        .statuses(time.monotonicNanos())
                        .forEach(status -> status.age()
                                .ifPresent(
                                        age -> callback.call(age.toMillis() / MILLISECONDS_PER_SECOND, label(status)))))
                .register(registry);
    }

    /** Registers the metric that shows a store which was restored. */
    public static void registerGeneration(PrometheusRegistry registry, LongSupplier generation) {
        GaugeWithCallback.builder()
                .name("aspenmoor_store_generation")
                .help("Generation of the store's history; rises where the store came back from an older copy.")
                .callback(callback -> callback.call((double) generation.getAsLong()))
                .register(registry);
    }

    private static String label(FreshnessStatus status) {
        return status.collection().name().toLowerCase(Locale.ROOT);
    }

    private record LoggedState(boolean confirmed, long loggedAt) {}
}
