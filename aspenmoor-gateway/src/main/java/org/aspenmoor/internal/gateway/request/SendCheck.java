package org.aspenmoor.internal.gateway.request;

import java.util.Optional;
import org.aspenmoor.internal.gateway.caller.AnswerWriter;
import org.aspenmoor.internal.organisation.Authorisation;
import org.aspenmoor.internal.serving.BackendServer;

/** Checks immediately before each send whether a request may still be sent to a server. */
final class SendCheck {
    private final ServingState state;
    private final AnswerWriter writer;
    private final RequestAuthorisation authorisation;
    private final FatalRequestCheck fatalCheck;
    private final StopCheck stopCheck;
    private final RequestShare share;
    private final RequestTrace trace;

    SendCheck(
            ServingState state,
            AnswerWriter writer,
            RequestAuthorisation authorisation,
            FatalRequestCheck fatalCheck,
            StopCheck stopCheck,
            RequestShare share,
            RequestTrace trace) {
        this.state = state;
        this.writer = writer;
        this.authorisation = authorisation;
        this.fatalCheck = fatalCheck;
        this.stopCheck = stopCheck;
        this.share = share;
        this.trace = trace;
    }

    /** Returns whether the request may be sent to another server after one that may have ended because of it. */
    boolean mayRetry() {
        return fatalCheck.mayRetry();
    }

    /** Returns why the request must not be sent to a server to which a connection was opened for it; empty if it may be. */
    Optional<String> refusalAfterConnect(BackendServer server, long nanosecondsLeft) {
        if (nanosecondsLeft <= 0) {
            return Optional.of("the deadline has passed while the connection was opened");
        }
        if (!state.acceptsWork(server)) {
            return Optional.of("the server has left while the connection was opened");
        }
        if (!state.serverListReliable()) {
            return Optional.of("the list of servers has become too old while the connection was opened");
        }
        if (stopCheck.refusal().isPresent()) {
            return Optional.of(trace.reason());
        }
        return authorisation.renew() instanceof Authorisation.Denied denied
                ? Optional.of(denied.reason().text())
                : Optional.empty();
    }

    /** Returns why the request must not be sent, and records the reason; empty if it may be sent. */
    Optional<SendRefusal> refusal() {
        if (!writer.callerConnected()) {
            return Optional.of(new SendRefusal.CallerDisconnected());
        }
        if (authorisation.renew() instanceof Authorisation.Denied denied) {
            trace.setReason(denied.reason().text());
            return Optional.of(new SendRefusal.KeyRemoved(denied.reason()));
        }
        Optional<SendRefusal.Stopping> stopping = stopCheck.refusal();
        if (stopping.isPresent()) {
            return Optional.of(stopping.get());
        }
        if (!state.serverListReliable()) {
            trace.setReason("the list of servers is too old to send by it");
            return Optional.of(new SendRefusal.ServerListOutdated());
        }
        Optional<SendRefusal> quarantined = fatalCheck.checkQuarantine().map(SendRefusal.Quarantined::new);
        return quarantined.or(() -> share.refusal().map(SendRefusal.ShareExceeded::new));
    }
}
