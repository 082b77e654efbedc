package org.aspenmoor.internal.entry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.aspenmoor.Outcome;
import org.aspenmoor.internal.document.RequestKind;
import org.aspenmoor.internal.document.ServiceDocument;

/** The metrics of an entry. */
public final class EntryMetrics {
    private final Counter requests;
    private final Counter refusals;
    private final Counter resumedStreams;
    private final Counter retriedAttempts;
    private final Counter goodput;
    private final Counter discardedChunks;
    private final Counter imbalances;
    private final Histogram firstTokenSeconds;

    public EntryMetrics(PrometheusRegistry registry) {
        this.requests = Counter.builder()
                .name("aspenmoor_requests_total")
                .help("Requests by outcome: answered, not-run, unknown, cancelled.")
                .labelNames("team", "service", "kind", "outcome")
                .register(registry);
        this.refusals = Counter.builder()
                .name("aspenmoor_refusals_total")
                .help("Requests that did not run, by reason.")
                .labelNames("reason")
                .register(registry);
        this.resumedStreams = Counter.builder()
                .name("aspenmoor_streams_resumed_total")
                .help("Streams continued at another engine after tokens had been delivered.")
                .register(registry);
        this.retriedAttempts = Counter.builder()
                .name("aspenmoor_attempts_retried_total")
                .help("Attempts beyond the first.")
                .register(registry);
        this.goodput = Counter.builder()
                .name("aspenmoor_goodput_total")
                .help("Requests answered within their deadline, weighted by kind.")
                .labelNames("team", "service", "kind")
                .register(registry);
        this.discardedChunks = Counter.builder()
                .name("aspenmoor_chunks_discarded_total")
                .help("Chunks of old attempts, doubled or after the end.")
                .register(registry);
        this.imbalances = Counter.builder()
                .name("aspenmoor_account_imbalances_total")
                .help("Checks at which a conservation equation did not hold.")
                .register(registry);
        this.firstTokenSeconds = Histogram.builder()
                .name("aspenmoor_first_token_seconds")
                .help("From the request's arrival to its first token.")
                .labelNames("team", "service", "kind")
                .register(registry);
    }

    void recordOutcome(ServiceDocument document, RequestKind kind, Outcome outcome, boolean inTime) {
        String name = switch (outcome) {
            case Outcome.Answered ignored -> "answered";
            case Outcome.NotRun ignored -> "not-run";
            case Outcome.Unknown ignored -> "unknown";
        };
        requests.labelValues(document.team(), document.service(), kind.name(), name)
                .inc();
        if (outcome instanceof Outcome.NotRun refusal) {
            refusals.labelValues(refusal.reason().name()).inc();
        }
        if (outcome instanceof Outcome.Answered && inTime) {
            goodput.labelValues(document.team(), document.service(), kind.name())
                    .inc(kind.weight());
        }
    }

    void recordUnmatchedRefusal(Outcome.NotRun refusal) {
        refusals.labelValues(refusal.reason().name()).inc();
    }

    void recordCancellation(ServiceDocument document, RequestKind kind) {
        requests.labelValues(document.team(), document.service(), kind.name(), "cancelled")
                .inc();
    }

    void recordRetry(boolean afterTokens) {
        retriedAttempts.inc();
        if (afterTokens) {
            resumedStreams.inc();
        }
    }

    void recordDiscardedChunk() {
        discardedChunks.inc();
    }

    void recordImbalance() {
        imbalances.inc();
    }

    void recordFirstToken(ServiceDocument document, RequestKind kind, double seconds) {
        firstTokenSeconds
                .labelValues(document.team(), document.service(), kind.name())
                .observe(seconds);
    }
}
