package org.aspenmoor.internal.gateway;

import io.netty.channel.EventLoop;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.aspenmoor.internal.gateway.backend.AnswerCollector;
import org.aspenmoor.internal.gateway.backend.BackendConnections;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.gateway.protocol.BackendProtocol;
import org.aspenmoor.internal.gateway.request.HealthProbe;
import org.aspenmoor.internal.gateway.request.SpeedProbing;
import org.aspenmoor.internal.serving.BackendServer;

/**
 * Asks servers for their load. What they state reaches the state of this entry with the head of the answer; its status
 * changes nothing. Confined to the event loop.
 */
final class HealthProbes {
    /** A health path answers at once; an answer that takes longer than a slow phase is of no use. */
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    /** Health paths in another data centre answer within this time too; reports are 100 ms apart at least. */
    private static final Duration BEFORE_REPORT = Duration.ofMillis(40);

    private final SpeedProbing probing;
    private final BackendConnections connections;
    private final BackendProtocol protocol;
    private final EventLoop eventLoop;
    private final DecisionLog log;
    private final Counter sent;
    private final Counter failed;

    HealthProbes(
            SpeedProbing probing,
            BackendConnections connections,
            BackendProtocol protocol,
            EventLoop eventLoop,
            DecisionLog log,
            PrometheusRegistry registry) {
        this.probing = probing;
        this.connections = connections;
        this.protocol = protocol;
        this.eventLoop = eventLoop;
        this.log = log;
        this.sent = Counter.builder()
                .name("aspenmoor_speed_probes_total")
                .help("Calls of the health path of backend servers that ask for their speed, by service.")
                .labelNames("service")
                .register(registry);
        this.failed = Counter.builder()
                .name("aspenmoor_speed_probe_failures_total")
                .help("Calls of the health path of backend servers that were not answered, by service.")
                .labelNames("service")
                .register(registry);
    }

    /** Sends the calls that are due; to be called several times a second. */
    void sendDue() {
        probing.takeProbes().forEach(this::send);
    }

    /** Sends the calls whose answers are to be in a report after the given interval. */
    void sendBeforeReport(Duration reportInterval) {
        long delay = reportInterval.minus(BEFORE_REPORT).toMillis();
        eventLoop.schedule(() -> probing.takeProbesBeforeReport().forEach(this::send), delay, TimeUnit.MILLISECONDS);
    }

    private void send(HealthProbe probe) {
        BackendServer server = probe.server();
        AnswerCollector collector = new AnswerCollector();
        boolean accepted = connections.callForLoad(
                server, protocol.createHealthRequest(server.id(), probe.path()), TIMEOUT, collector);
        if (!accepted) {
            probing.failed(server);
            return;
        }
        sent.labelValues(server.service()).inc();
        collector.future().whenComplete((answer, failure) -> {
            if (failure == null) {
                probing.answered(server);
            } else {
                failed(server, String.valueOf(failure.getMessage()));
            }
        });
    }

    private void failed(BackendServer server, String reason) {
        probing.failed(server);
        failed.labelValues(server.service()).inc();
        log.notable("speed-probe-failed")
                .with("server", server.id())
                .with("reason", reason)
                .write();
    }
}
