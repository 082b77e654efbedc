package org.aspenmoor.internal.gateway.request;

import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.internal.gateway.caller.IncomingRequest;
import org.aspenmoor.internal.gateway.quarantine.FatalRequests;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.PlacedWork;
import org.aspenmoor.internal.serving.quarantine.Quarantine;
import org.aspenmoor.internal.serving.quarantine.RequestDigest;
import org.aspenmoor.internal.serving.quarantine.ServerStart;
import org.aspenmoor.internal.serving.quarantine.Verdict;

/** What the ends of servers say of one request, and what its own runs add to that. Confined to the event loop. */
final class ServerEnds {
    /** A server that ends later than this after an answer began has not ended by beginning it. */
    private static final Duration LONGEST_FATAL_RUN = Duration.ofSeconds(1);

    private final RequestTools tools;
    private final FatalRequests known;
    private final String request;
    private final String service;
    private final IncomingRequest incoming;
    private final RequestTrace trace;
    private RequestDigest digest;
    private int unconfirmed;

    ServerEnds(RequestTools tools, String request, String service, IncomingRequest incoming, RequestTrace trace) {
        this.tools = tools;
        this.known = tools.fatalRequests();
        this.request = request;
        this.service = service;
        this.incoming = incoming;
        this.trace = trace;
    }

    /** Returns for how long the request is kept from servers, and notes that it is; empty where it may run. */
    Optional<Duration> quarantined() {
        return switch (verdict()) {
            case Verdict.Clear clear -> Optional.empty();
            case Verdict.Suspected suspected -> Optional.empty();
            case Verdict.Quarantined quarantined -> {
                tools.metrics().quarantined(service);
                trace.because("it ends the servers that run it, " + quarantined.ends() + " so far; digest "
                        + digest().text());
                yield Optional.of(quarantined.left());
            }
        };
    }

    /** Returns whether the request may go to one more server at once, given the ends that are not confirmed yet. */
    boolean mayRepeat() {
        return switch (verdict()) {
            case Verdict.Clear clear -> unconfirmed < Quarantine.LEAST_ENDS;
            case Verdict.Suspected suspected -> suspected.ends() + unconfirmed < Quarantine.LEAST_ENDS;
            case Verdict.Quarantined quarantined -> false;
        };
    }

    /** Notes that the request was answered. */
    void answered() {
        known.answered(digest());
    }

    /** Returns the request's digest, made when it is first needed. */
    RequestDigest digest() {
        if (digest == null) {
            digest = RequestDigests.of(incoming);
        }
        return digest;
    }

    /**
     * Notes that a connection broke before the answer was complete; whether its server has ended shows a little later.
     *
     * @param told how long the answer had been told
     */
    void connectionBroke(BackendServer server, PlacedWork work, Duration told) {
        Duration asked = Duration.ofNanos(tools.state().time().monotonicNanos() - work.atNanoseconds());
        BrokenRun run = new BrokenRun(request, digest(), server, asked, told);
        unconfirmed++;
        tools.connections().probe(server, ended -> probed(run, ended));
    }

    private Verdict verdict() {
        return known.empty() ? new Verdict.Clear() : known.verdict(digest());
    }

    private void probed(BrokenRun run, boolean ended) {
        unconfirmed--;
        if (!ended) {
            return;
        }
        BackendServer server = run.server();
        boolean planned = !tools.state().takesWork(server);
        tools.metrics().serverEnded(server.service(), planned);
        write(run, planned);
        if (!planned && run.told().compareTo(LONGEST_FATAL_RUN) <= 0) {
            known.serverEnded(run.digest(), ServerStart.of(server));
        }
    }

    private void write(BrokenRun run, boolean planned) {
        BackendServer server = run.server();
        long now = tools.state().time().monotonicNanos();
        long requests = Math.round(tools.state().placer().load(server.id(), now).requests());
        tools.state()
                .log()
                .notable("server-ended")
                .with("request", run.request())
                .with("digest", run.digest().text())
                .with("service", server.service())
                .with("server", server.id())
                .with("startedAt", server.startedAt())
                .with("planned", Boolean.toString(planned))
                .with("askedMs", run.asked().toMillis())
                .with("toldMs", run.told().toMillis())
                .with("requests", requests)
                .write();
    }
}
