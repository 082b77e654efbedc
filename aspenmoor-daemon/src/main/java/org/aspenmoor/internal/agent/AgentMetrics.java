package org.aspenmoor.internal.agent;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** The metrics of an agent. */
public final class AgentMetrics {
    private final Counter dispatches;
    private final Gauge running;

    public AgentMetrics(PrometheusRegistry registry) {
        this.dispatches = Counter.builder()
                .name("aspenmoor_agent_dispatches_total")
                .help("Dispatches by what became of them: refused, complete, failed, cancelled.")
                .labelNames("end")
                .register(registry);
        this.running = Gauge.builder()
                .name("aspenmoor_agent_running")
                .help("Attempts that run at the backend server now.")
                .register(registry);
    }

    void recordEnd(String end) {
        dispatches.labelValues(end).inc();
    }

    void setRunning(int count) {
        running.set(count);
    }
}
