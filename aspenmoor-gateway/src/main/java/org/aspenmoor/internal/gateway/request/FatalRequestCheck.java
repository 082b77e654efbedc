package org.aspenmoor.internal.gateway.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.aspenmoor.internal.gateway.caller.IncomingRequest;
import org.aspenmoor.internal.gateway.protocol.CallerHeaders;
import org.aspenmoor.internal.gateway.quarantine.FatalRequestTracker;
import org.aspenmoor.internal.serving.AssignedWork;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.quarantine.Quarantine;
import org.aspenmoor.internal.serving.quarantine.QuarantineDecision;
import org.aspenmoor.internal.serving.quarantine.ServerIncarnation;
import org.aspenmoor.internal.serving.quarantine.SuspectDigest;

/**
 * Checks whether one request is quarantined because it, or a part of its prompt, terminates servers, and reports
 * terminations that its own attempts cause. Confined to the event loop.
 */
final class FatalRequestCheck {
    /** If a server terminates later than this after an answer began, the request is not considered the cause. */
    private static final Duration MAX_FATAL_RUN = Duration.ofSeconds(1);

    /**
     * A part terminates a server as its answer begins. If an answer began longer ago, its parts are not considered the
     * cause.
     */
    private static final Duration MAX_FATAL_BEGINNING = Duration.ofMillis(100);

    private final ServingContext context;
    private final FatalRequestTracker fatalRequests;
    private final CallerHeaders caller;
    private final String service;
    private final IncomingRequest incoming;
    private final RequestTrace trace;
    private SuspectDigest digest;
    private List<SuspectDigest> parts;
    private final Set<SuspectDigest> trials = new HashSet<>();
    private int unconfirmedTerminations;

    FatalRequestCheck(
            ServingContext context,
            CallerHeaders caller,
            String service,
            IncomingRequest incoming,
            RequestTrace trace) {
        this.context = context;
        this.fatalRequests = context.fatalRequests();
        this.caller = caller;
        this.service = service;
        this.incoming = incoming;
        this.trace = trace;
    }

    /** Returns the remaining quarantine period of the request and records the refusal; empty if the request may run. */
    Optional<Duration> checkQuarantine() {
        if (fatalRequests.isEmpty()) {
            return Optional.empty();
        }
        for (SuspectDigest suspect : suspects()) {
            if (decision(suspect) instanceof QuarantineDecision.Quarantined quarantined) {
                recordRefusal(suspect, quarantined);
                return Optional.of(quarantined.remaining());
            }
        }
        suspects().stream().filter(this::trialNeeded).forEach(this::beginTrial);
        return Optional.empty();
    }

    /** Returns whether the request may be sent to another server, counting terminations that are not yet confirmed. */
    boolean mayRetry() {
        if (fatalRequests.isEmpty()) {
            return unconfirmedTerminations < Quarantine.MIN_TERMINATIONS;
        }
        return suspects().stream().allMatch(suspect -> switch (decision(suspect)) {
            case QuarantineDecision.Clear clear -> unconfirmedTerminations < Quarantine.MIN_TERMINATIONS;
            case QuarantineDecision.Suspected suspected ->
                suspected.terminations() + unconfirmedTerminations < Quarantine.MIN_TERMINATIONS;
            case QuarantineDecision.Quarantined quarantined -> false;
        });
    }

    /**
     * Ends the request's trials, unless it is not known yet whether they have terminated a server. An answer clears the
     * request and the parts of its prompt of suspicion.
     */
    void ended(RequestOutcome outcome) {
        if (outcome == RequestOutcome.ANSWERED) {
            fatalRequests.requestAnswered(digest(), parts());
        }
        if (unconfirmedTerminations == 0) {
            trials.forEach(suspect -> fatalRequests.endTrial(suspect, requestId()));
        }
    }

    private List<SuspectDigest> suspects() {
        List<SuspectDigest> suspects = new ArrayList<>(parts());
        suspects.add(digest());
        return suspects;
    }

    private QuarantineDecision decision(SuspectDigest suspect) {
        return fatalRequests.decide(suspect, requestId());
    }

    private boolean trialNeeded(SuspectDigest suspect) {
        return decision(suspect) instanceof QuarantineDecision.Suspected suspected && suspected.trialOnly();
    }

    private void beginTrial(SuspectDigest suspect) {
        if (trials.add(suspect)) {
            fatalRequests.beginTrial(suspect, requestId());
        }
    }

    private void recordRefusal(SuspectDigest suspect, QuarantineDecision.Quarantined quarantined) {
        context.metrics().quarantined(service);
        String cause = suspect.equals(digest()) ? "running it" : "beginning an answer to a part of its prompt";
        trace.setReason(cause + " has terminated backend servers, " + quarantined.terminations() + " so far; digest "
                + suspect.hex());
    }

    /** Returns the request's digest, computed on first use. */
    SuspectDigest digest() {
        if (digest == null) {
            digest = RequestDigests.of(incoming);
        }
        return digest;
    }

    /** Returns the digests of the shared parts of the request's prompt, computed on first use. */
    private List<SuspectDigest> parts() {
        if (parts == null) {
            parts = caller.prompt()
                    .map(prompt -> PromptPartDigests.of(service, prompt))
                    .orElse(List.of());
        }
        return parts;
    }

    private String requestId() {
        return caller.requestId();
    }

    /**
     * Records that a connection broke before the answer was complete, and probes whether the server has terminated.
     *
     * @param sinceAnswerBegan time from the beginning of the answer to the break; zero if it had not begun
     */
    void connectionBroken(BackendServer server, AssignedWork work, Duration sinceAnswerBegan) {
        Duration sinceSent = Duration.ofNanos(context.state().time().monotonicNanos() - work.startedAtNanos());
        InterruptedAttempt attempt =
                new InterruptedAttempt(requestId(), digest(), parts(), server, sinceSent, sinceAnswerBegan);
        unconfirmedTerminations++;
        context.connections().probe(server, terminated -> probed(attempt, terminated));
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
        if (planned) {
            return;
        }
        ServerIncarnation incarnation = ServerIncarnation.of(server);
        if (attempt.sinceAnswerBegan().compareTo(MAX_FATAL_RUN) <= 0) {
            fatalRequests.serverTerminated(attempt.digest(), incarnation);
        }
        if (attempt.sinceAnswerBegan().compareTo(MAX_FATAL_BEGINNING) <= 0) {
            attempt.parts().forEach(part -> fatalRequests.serverTerminatedOnPart(part, incarnation));
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
                .with(
                        "parts",
                        String.join(
                                " ",
                                attempt.parts().stream().map(SuspectDigest::hex).toList()))
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
