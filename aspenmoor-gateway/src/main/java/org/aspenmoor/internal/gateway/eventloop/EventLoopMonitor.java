package org.aspenmoor.internal.gateway.eventloop;

import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.aspenmoor.internal.gateway.log.DecisionLog;

/**
 * Measures how late the event loop runs a periodic task. Confined to the event loop.
 *
 * <p>Whatever arrives at the entry is handled about as late as this task runs.
 */
public final class EventLoopMonitor {
    /** Delay from which on a line is logged; callers notice it. */
    private static final Duration NOTABLE_DELAY = Duration.ofMillis(200);

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final long intervalNanos;
    private final DecisionLog log;
    private final Histogram delaySeconds;
    private long lastRunNanos;

    /**
     * Registers the metric.
     *
     * @param interval time from one run of the task to the next
     */
    public EventLoopMonitor(Duration interval, long nowNanos, DecisionLog log, PrometheusRegistry registry) {
        this.intervalNanos = interval.toNanos();
        this.lastRunNanos = nowNanos;
        this.log = log;
        this.delaySeconds = Histogram.builder()
                .name("aspenmoor_event_loop_delay_seconds")
                .help("How late the event loop ran a periodic task; what arrives is handled as late.")
                .classicOnly()
                .register(registry);
    }

    /** Records a run of the periodic task. */
    public void taskRun(long nowNanos) {
        long delayNanos = Math.max(0, nowNanos - lastRunNanos - intervalNanos);
        lastRunNanos = nowNanos;
        delaySeconds.observe(delayNanos / NANOSECONDS_PER_SECOND);
        if (delayNanos > NOTABLE_DELAY.toNanos()) {
            log.notable("event-loop-late")
                    .with("lateMs", TimeUnit.NANOSECONDS.toMillis(delayNanos))
                    .write();
        }
    }
}
