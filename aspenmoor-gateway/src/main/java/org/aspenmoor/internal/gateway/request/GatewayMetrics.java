package org.aspenmoor.internal.gateway.request;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.aspenmoor.internal.serving.ServerSummary;

/** The request metrics of an entry. */
public final class GatewayMetrics {
    /** More organisations share one value of the label. */
    private static final int MAX_ORGANISATIONS = 100;

    private final Counter requests;
    private final Counter organisationRequests;
    private final BoundedLabels organisations = new BoundedLabels(MAX_ORGANISATIONS);
    private final Counter attempts;
    private final Counter retries;
    private final Counter serverTerminations;
    private final Counter quarantinedArrivals;
    private final Counter mixedAnswers;
    private final Histogram firstByteSeconds;

    /**
     * Registers the metrics.
     *
     * @param connectionsOpened supplies the number of connections to backend servers opened so far
     * @param servers supplies the estimated load of each backend server
     * @param quarantined supplies the number of requests currently in quarantine
     */
    public GatewayMetrics(
            PrometheusRegistry registry,
            LongSupplier connectionsOpened,
            Supplier<List<ServerSummary>> servers,
            IntSupplier quarantined) {
        this.requests = Counter.builder()
                .name("aspenmoor_requests_total")
                .help("Requests by service and outcome.")
                .labelNames("service", "outcome")
                .register(registry);
        this.organisationRequests = Counter.builder()
                .name("aspenmoor_organisation_requests_total")
                .help(
                        "Requests by organisation and outcome; the first hundred organisations by name, the others together.")
                .labelNames("organisation", "outcome")
                .register(registry);
        this.attempts = Counter.builder()
                .name("aspenmoor_attempts_total")
                .help("Attempts at backend servers, by service and how they ended.")
                .labelNames("service", "end")
                .register(registry);
        this.retries = Counter.builder()
                .name("aspenmoor_repeats_total")
                .help("Repeated arrivals asked of the shared budget, by service and whether it granted them.")
                .labelNames("service", "granted")
                .register(registry);
        this.serverTerminations = Counter.builder()
                .name("aspenmoor_requests_at_server_end_total")
                .help(
                        "Requests that a backend server had when it ended, by service and whether it had said that it leaves.")
                .labelNames("service", "planned")
                .register(registry);
        this.quarantinedArrivals = Counter.builder()
                .name("aspenmoor_requests_quarantined_total")
                .help("Requests that were kept from servers because they end those that run them, by service.")
                .labelNames("service")
                .register(registry);
        this.mixedAnswers = Counter.builder()
                .name("aspenmoor_answers_of_several_versions_total")
                .help("Answers with events of servers of several software versions, by service; each is a fault.")
                .labelNames("service")
                .register(registry);
        this.firstByteSeconds = Histogram.builder()
                .name("aspenmoor_first_byte_seconds")
                .help("From a request's arrival to the first byte of its answer.")
                .labelNames("service")
                .classicOnly()
                .register(registry);
        GaugeWithCallback.builder()
                .name("aspenmoor_quarantined_requests")
                .help("Different requests that are kept from servers at present.")
                .callback(callback -> callback.call(quarantined.getAsInt()))
                .register(registry);
        CounterWithCallback.builder()
                .name("aspenmoor_connections_opened_total")
                .help("Connections to backend servers that were opened.")
                .callback(callback -> callback.call((double) connectionsOpened.getAsLong()))
                .register(registry);
        ServerMetrics.register(registry, servers);
    }

    void requestEnded(String service, RequestOutcome outcome) {
        requests.labelValues(service, outcome.name()).inc();
    }

    void organisationRequestEnded(String organisation, RequestOutcome outcome) {
        organisationRequests
                .labelValues(organisations.valueFor(organisation), outcome.name())
                .inc();
    }

    void attemptEnded(String service, String end) {
        attempts.labelValues(service, end).inc();
    }

    void retryRequested(String service, boolean granted) {
        retries.labelValues(service, Boolean.toString(granted)).inc();
    }

    void serverTerminated(String service, boolean planned) {
        serverTerminations.labelValues(service, Boolean.toString(planned)).inc();
    }

    void quarantined(String service) {
        quarantinedArrivals.labelValues(service).inc();
    }

    void versionsMixed(String service) {
        mixedAnswers.labelValues(service).inc();
    }

    void answerBegan(String service, double seconds) {
        firstByteSeconds.labelValues(service).observe(seconds);
    }
}
