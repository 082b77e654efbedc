package org.aspenmoor.internal.gateway.request;

import java.util.Optional;
import org.aspenmoor.internal.gateway.caller.AnswerWriter;
import org.aspenmoor.internal.organisation.Authorisation;

/** Checks immediately before each send whether a request may still be sent to a server. */
final class SendCheck {
    private final AnswerWriter writer;
    private final RequestAuthorisation authorisation;
    private final FatalRequestCheck fatalCheck;
    private final RequestShare share;
    private final RequestTrace trace;

    SendCheck(
            AnswerWriter writer,
            RequestAuthorisation authorisation,
            FatalRequestCheck fatalCheck,
            RequestShare share,
            RequestTrace trace) {
        this.writer = writer;
        this.authorisation = authorisation;
        this.fatalCheck = fatalCheck;
        this.share = share;
        this.trace = trace;
    }

    /** Returns whether the request may be sent to another server after one that may have ended because of it. */
    boolean mayRetry() {
        return fatalCheck.mayRetry();
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
        Optional<SendRefusal> quarantined = fatalCheck.checkQuarantine().map(SendRefusal.Quarantined::new);
        return quarantined.or(() -> share.refusal().map(SendRefusal.ShareExceeded::new));
    }
}
