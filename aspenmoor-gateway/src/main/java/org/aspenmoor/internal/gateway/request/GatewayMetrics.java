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
    private final Counter shareDecisions;
    private final Counter attempts;
    private final Counter retries;
    private final Counter serverTerminations;
    private final Counter quarantinedArrivals;
    private final Counter mixedAnswers;
    private final Counter resumedStreams;
    private final Counter callersDisconnected;
    private final Counter refusedByStop;
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
        this.requests =
                counter(registry, "aspenmoor_requests_total", "Requests by service and outcome.", "service", "outcome");
        this.organisationRequests = counter(
                registry,
                "aspenmoor_organisation_requests_total",
                "Requests by organisation and outcome; the first hundred organisations by name, the others together.",
                "organisation",
                "outcome");
        this.shareDecisions = shareDecisions(registry);
        this.attempts = counter(
                registry,
                "aspenmoor_attempts_total",
                "Attempts at backend servers, by service and how they ended.",
                "service",
                "end");
        this.retries = counter(
                registry,
                "aspenmoor_repeats_total",
                "Repeated arrivals asked of the shared budget, by service and whether it granted them.",
                "service",
                "granted");
        this.serverTerminations = counter(
                registry,
                "aspenmoor_requests_at_server_end_total",
                "Requests that a backend server had when it ended, by service and whether it had said that it leaves.",
                "service",
                "planned");
        this.quarantinedArrivals = counter(
                registry,
                "aspenmoor_requests_quarantined_total",
                "Requests that were kept from servers because they end those that run them, by service.",
                "service");
        this.mixedAnswers = counter(
                registry,
                "aspenmoor_answers_of_several_versions_total",
                "Answers with events of servers of several software versions, by service; each is a fault.",
                "service");
        this.resumedStreams = counter(
                registry,
                "aspenmoor_streams_taken_up_total",
                "Streams that callers took up again, by service and whether they may go on.",
                "service",
                "continued");
        this.callersDisconnected = counter(
                registry,
                "aspenmoor_callers_disconnected_total",
                "Callers that disconnected before their answer ended, by service and how far the attempt had come.",
                "service",
                "attempt");
        this.refusedByStop = refusedByStop(registry);
        this.firstByteSeconds = Histogram.builder()
                .name("aspenmoor_first_byte_seconds")
                .help("From a request's arrival to the first byte of its answer.")
                .labelNames("service")
                .classicOnly()
                .register(registry);
        registerSupplied(registry, connectionsOpened, quarantined);
        ServerMetrics.register(registry, servers);
    }

    private static void registerSupplied(
            PrometheusRegistry registry, LongSupplier connectionsOpened, IntSupplier quarantined) {
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
    }

    private static Counter shareDecisions(PrometheusRegistry registry) {
        return counter(
                registry,
                "aspenmoor_organisation_share_decisions_total",
                "Requests by organisation (as above) and whether its share admitted them; both together were asked for.",
                "organisation",
                "admitted");
    }

    private static Counter refusedByStop(PrometheusRegistry registry) {
        return counter(
                registry,
                "aspenmoor_requests_refused_by_stop_total",
                "Requests not sent because the process was stopping and their answers might outlast it, by service.",
                "service");
    }

    private static Counter counter(PrometheusRegistry registry, String name, String help, String... labels) {
        return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
    }

    void requestEnded(String service, RequestOutcome outcome) {
        requests.labelValues(service, outcome.name()).inc();
    }

    void organisationRequestEnded(String organisation, RequestOutcome outcome) {
        organisationRequests
                .labelValues(organisations.valueFor(organisation), outcome.name())
                .inc();
    }

    void shareDecided(String organisation, boolean admitted) {
        shareDecisions
                .labelValues(organisations.valueFor(organisation), Boolean.toString(admitted))
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

    void streamResumed(String service, boolean continued) {
        resumedStreams.labelValues(service, Boolean.toString(continued)).inc();
    }

    void callerDisconnected(String service, AttemptProgress progress) {
        callersDisconnected.labelValues(service, progress.name()).inc();
    }

    void refusedByStop(String service) {
        refusedByStop.labelValues(service).inc();
    }

    void answerBegan(String service, double seconds) {
        firstByteSeconds.labelValues(service).observe(seconds);
    }
}
