package org.aspenmoor.internal.gateway.usage;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.time.TrueTimeEstimator;
import org.aspenmoor.internal.usage.UsageListener;
import org.aspenmoor.internal.usage.UsageReport;

/** Logs and counts what happens to each window of usage. */
public final class UsageLog implements UsageListener {
    private static final double MILLIS_PER_SECOND = 1000;

    private final DecisionLog log;
    private final Counter windows;

    /**
     * Registers the metrics.
     *
     * @param trueTime the estimate of the true time
     */
    public UsageLog(DecisionLog log, PrometheusRegistry registry, TrueTimeEstimator trueTime) {
        this.log = log;
        this.windows = Counter.builder()
                .name("aspenmoor_usage_windows_total")
                .help("Windows of usage that this entry has handled, by what happened to them.")
                .labelNames("step")
                .register(registry);
        gauge("aspenmoor_clock_error_seconds", "By how much the wall clock is ahead of the estimated true time.")
                .callback(callback -> callback.call(trueTime.ownErrorMillis() / MILLIS_PER_SECOND))
                .register(registry);
        gauge("aspenmoor_clock_spread_seconds", "Largest difference between the clocks of two entries.")
                .callback(callback -> callback.call(trueTime.spreadMillis() / MILLIS_PER_SECOND))
                .register(registry);
        gauge("aspenmoor_clock_jumps", "Jumps of the wall clock, or suspensions, since the start.")
                .callback(callback -> callback.call((double) trueTime.jumps()))
                .register(registry);
    }

    @Override
    public void decided(UsageReport report, long fencingNumber) {
        windows.labelValues("decided").inc();
        log.notable("usage-decided")
                .with("window", report.window())
                .with("requests", report.total())
                .with("organisations", report.counts().size())
                .with("number", fencingNumber)
                .write();
    }

    @Override
    public void accepted(UsageReport report, long fencingNumber) {
        windows.labelValues("accepted").inc();
        log.notable("usage-accepted")
                .with("window", report.window())
                .with("requests", report.total())
                .with("number", fencingNumber)
                .write();
    }

    @Override
    public void notAccepted(UsageReport report, long fencingNumber, String reason) {
        windows.labelValues("not-accepted").inc();
        log.notable("usage-not-accepted")
                .with("window", report.window())
                .with("number", fencingNumber)
                .with("reason", reason)
                .with("next", "the same report is sent again")
                .write();
    }

    @Override
    public void missed(long window, String reason) {
        windows.labelValues("missed").inc();
        log.notable("usage-missed")
                .with("window", window)
                .with("reason", reason)
                .write();
    }

    @Override
    public void postponed(String reason) {
        log.notable("usage-postponed").with("reason", reason).write();
    }

    private static GaugeWithCallback.Builder gauge(String name, String help) {
        return GaugeWithCallback.builder().name(name).help(help);
    }
}
