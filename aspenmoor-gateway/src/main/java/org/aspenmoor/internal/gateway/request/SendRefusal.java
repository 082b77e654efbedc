package org.aspenmoor.internal.gateway.request;

import java.time.Duration;
import org.aspenmoor.internal.organisation.Authorisation;
import org.aspenmoor.internal.serving.stop.StopRefusal;

/** Why a request that was accepted must not be sent to a server any more. */
sealed interface SendRefusal {
    /** The caller has disconnected; nobody would receive the answer. */
    record CallerDisconnected() implements SendRefusal {}

    /** The caller's key has been removed from the configuration. */
    record KeyRemoved(Authorisation.Reason reason) implements SendRefusal {}

    /** The process is stopping, and the answer may take longer than it serves; the request may be retried elsewhere. */
    record Stopping(StopRefusal refusal) implements SendRefusal {}

    /** The list of servers is too old to send by it; the request may be sent once the list is confirmed. */
    record ServerListOutdated() implements SendRefusal {}

    /** The request's organisation demands more than its share; it may be retried after the delay. */
    record ShareExceeded(Duration retryDelay) implements SendRefusal {}

    /** The request terminates the servers that run it; it may be retried after the delay. */
    record Quarantined(Duration retryDelay) implements SendRefusal {}
}
