package org.aspenmoor.internal.gateway.log;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.function.LongSupplier;
import org.aspenmoor.internal.gateway.caller.DropListener;

/** Logs and counts the callers that are dropped because they do not read. */
public final class CallerDropLog implements DropListener {
    private final DecisionLog log;
    private final Counter dropped;

    public CallerDropLog(DecisionLog log, PrometheusRegistry registry) {
        this.log = log;
        this.dropped = Counter.builder()
                .name("aspenmoor_callers_dropped_total")
                .help("Callers whose answers were cut because too many bytes were buffered and they read nothing.")
                .register(registry);
    }

    /**
     * Registers the number of bytes that are buffered.
     *
     * @param bytes supplies the bytes buffered for all callers and servers
     */
    public void registerBytes(PrometheusRegistry registry, LongSupplier bytes) {
        GaugeWithCallback.builder()
                .name("aspenmoor_buffered_bytes")
                .help("Bytes of requests and answers that this entry buffers for callers and servers.")
                .callback(callback -> callback.call((double) bytes.getAsLong()))
                .register(registry);
    }

    @Override
    public void dropped(long bytes, Duration unread) {
        dropped.inc();
        log.notable("caller-dropped")
                .with("bytes", bytes)
                .with("unreadMs", unread.toMillis())
                .write();
    }
}
