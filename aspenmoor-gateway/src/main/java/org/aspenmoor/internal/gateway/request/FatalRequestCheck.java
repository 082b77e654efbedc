package org.aspenmoor.internal.gateway.request;

import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.internal.gateway.caller.IncomingRequest;
import org.aspenmoor.internal.gateway.quarantine.FatalRequestTracker;
import org.aspenmoor.internal.serving.AssignedWork;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.quarantine.Quarantine;
import org.aspenmoor.internal.serving.quarantine.QuarantineDecision;
import org.aspenmoor.internal.serving.quarantine.RequestDigest;
import org.aspenmoor.internal.serving.quarantine.ServerIncarnation;

/**
 * Checks whether one request is quarantined because it terminates servers, and reports terminations that its own
 * attempts cause. Confined to the event loop.
 */
final class FatalRequestCheck {
    /** If a server terminates later than this after an answer began, the request is not considered the cause. */
    private static final Duration MAX_FATAL_RUN = Duration.ofSeconds(1);

    private final ServingContext context;
    private final FatalRequestTracker fatalRequests;
    private final String requestId;
    private final String service;
    private final IncomingRequest incoming;
    private final RequestTrace trace;
    private RequestDigest digest;
    private int unconfirmedTerminations;

    FatalRequestCheck(
            ServingContext context, String requestId, String service, IncomingRequest incoming, RequestTrace trace) {
        this.context = context;
        this.fatalRequests = context.fatalRequests();
        this.requestId = requestId;
        this.service = service;
        this.incoming = incoming;
        this.trace = trace;
    }

    /** Returns the remaining quarantine period of the request and records the refusal; empty if the request may run. */
    Optional<Duration> checkQuarantine() {
        return switch (decision()) {
            case QuarantineDecision.Clear clear -> Optional.empty();
            case QuarantineDecision.Suspected suspected -> Optional.empty();
            case QuarantineDecision.Quarantined quarantined -> {
                context.metrics().quarantined(service);
                trace.setReason("running it has terminated backend servers, " + quarantined.terminations()
                        + " so far; digest " + digest().hex());
                yield Optional.of(quarantined.remaining());
            }
        };
    }

    /** Returns whether the request may be sent to another server, counting terminations that are not yet confirmed. */
    boolean mayRetry() {
        return switch (decision()) {
            case QuarantineDecision.Clear clear -> unconfirmedTerminations < Quarantine.MIN_TERMINATIONS;
            case QuarantineDecision.Suspected suspected ->
                suspected.terminations() + unconfirmedTerminations < Quarantine.MIN_TERMINATIONS;
            case QuarantineDecision.Quarantined quarantined -> false;
        };
    }

    /** Records that the request was answered, which clears it of the suspicion that it terminates servers. */
    void answered() {
        fatalRequests.requestAnswered(digest());
    }

    /** Returns the request's digest, computed on first use. */
    RequestDigest digest() {
        if (digest == null) {
            digest = RequestDigests.of(incoming);
        }
        return digest;
    }

    /**
     * Records that a connection broke before the answer was complete, and probes whether the server has terminated.
     *
     * @param sinceAnswerBegan time from the beginning of the answer to the break; zero if it had not begun
     */
    void connectionBroken(BackendServer server, AssignedWork work, Duration sinceAnswerBegan) {
        Duration sinceSent = Duration.ofNanos(context.state().time().monotonicNanos() - work.startedAtNanos());
        InterruptedAttempt attempt = new InterruptedAttempt(requestId, digest(), server, sinceSent, sinceAnswerBegan);
        unconfirmedTerminations++;
        context.connections().probe(server, terminated -> probed(attempt, terminated));
    }

    private QuarantineDecision decision() {
        return fatalRequests.isEmpty() ? new QuarantineDecision.Clear() : fatalRequests.decide(digest());
    }

    private void probed(InterruptedAttempt attempt, boolean terminated) {
        unconfirmedTerminations--;
        if (!terminated) {
            return;
        }
        BackendServer server = attempt.server();
        boolean planned = !context.state().acceptsWork(server);
        context.metrics().serverTerminated(server.service(), planned);
        logTermination(attempt, planned);
        if (!planned && attempt.sinceAnswerBegan().compareTo(MAX_FATAL_RUN) <= 0) {
            fatalRequests.serverTerminated(attempt.digest(), ServerIncarnation.of(server));
        }
    }

    private void logTermination(InterruptedAttempt attempt, boolean planned) {
        BackendServer server = attempt.server();
        long now = context.state().time().monotonicNanos();
        long requests =
                Math.round(context.state().placement().load(server.id(), now).requests());
        context.state()
                .log()
                .notable("server-ended")
                .with("request", attempt.requestId())
                .with("digest", attempt.digest().hex())
                .with("service", server.service())
                .with("server", server.id())
                .with("startedAt", server.startedAt())
                .with("planned", Boolean.toString(planned))
                .with("askedMs", attempt.sinceSent().toMillis())
                .with("toldMs", attempt.sinceAnswerBegan().toMillis())
                .with("requests", requests)
                .write();
    }
}
