package org.aspenmoor.internal.gateway.request;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.ToLongFunction;
import org.aspenmoor.internal.gateway.backend.AnswerIrregularity;

/** The metrics of what servers send that an intact server does not send. */
final class IrregularAnswerMetrics {
    private IrregularAnswerMetrics() {}

    /**
     * Registers the metrics.
     *
     * @param counts returns how many irregular answers of a kind have been received
     */
    static void register(PrometheusRegistry registry, ToLongFunction<AnswerIrregularity> counts) {
        CounterWithCallback.builder()
                .name("aspenmoor_irregular_answers_total")
                .help("What backend servers sent that an intact server does not send, by kind.")
                .labelNames("kind")
                .callback(callback -> {
                    for (AnswerIrregularity kind : AnswerIrregularity.values()) {
                        callback.call((double) counts.applyAsLong(kind), kind.name());
                    }
                })
                .register(registry);
    }
}
