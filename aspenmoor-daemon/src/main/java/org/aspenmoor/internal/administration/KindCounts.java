package org.aspenmoor.internal.administration;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.aspenmoor.internal.document.ServiceName;

/** Reads the number of requests by kind and outcome from the metrics. */
public final class KindCounts {
    private static final String METRIC = "aspenmoor_requests";

    private final PrometheusRegistry metrics;

    public KindCounts(PrometheusRegistry metrics) {
        this.metrics = metrics;
    }

    /** Returns the counts for each kind of a service, sorted by the name of the kind. */
    List<KindStatus> of(ServiceName name) {
        Map<String, Map<String, Long>> byKind = new TreeMap<>();
        for (MetricSnapshot snapshot : metrics.scrape(METRIC::equals)) {
            if (snapshot instanceof CounterSnapshot counter) {
                counter.getDataPoints().forEach(point -> add(byKind, name, point.getLabels(), (long) point.getValue()));
            }
        }
        List<KindStatus> kinds = new ArrayList<>();
        byKind.forEach((kind, outcomes) -> kinds.add(new KindStatus(
                kind,
                outcomes.getOrDefault("answered", 0L),
                outcomes.getOrDefault("not-run", 0L),
                outcomes.getOrDefault("unknown", 0L),
                outcomes.getOrDefault("cancelled", 0L))));
        return kinds;
    }

    private static void add(Map<String, Map<String, Long>> byKind, ServiceName name, Labels labels, long value) {
        if (name.team().equals(labels.get("team")) && name.service().equals(labels.get("service"))) {
            byKind.computeIfAbsent(labels.get("kind"), kind -> new TreeMap<>())
                    .merge(labels.get("outcome"), value, Long::sum);
        }
    }
}
