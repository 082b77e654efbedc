package org.aspenmoor.internal.gateway.request;

import io.netty.handler.codec.http.FullHttpRequest;
import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.internal.gateway.caller.IncomingRequest;
import org.aspenmoor.internal.gateway.protocol.BackendProtocol;
import org.aspenmoor.internal.gateway.protocol.CacheSource;
import org.aspenmoor.internal.gateway.protocol.DispatchParameters;
import org.aspenmoor.internal.gateway.protocol.RequestedWork;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.Placement;
import org.aspenmoor.internal.serving.Route;

/** Builds the messages that are sent to backend servers for one request. */
final class AttemptMessages {
    private final IncomingRequest incoming;
    private final BackendProtocol protocol;
    private final Route route;
    private final RequestAuthorisation authorisation;
    private final long deadline;

    AttemptMessages(
            IncomingRequest incoming,
            BackendProtocol protocol,
            Route route,
            RequestAuthorisation authorisation,
            long deadline) {
        this.incoming = incoming;
        this.protocol = protocol;
        this.route = route;
        this.authorisation = authorisation;
        this.deadline = deadline;
    }

    /** Returns the message that requests only the prefill from an engine. */
    FullHttpRequest prefillRequest(Placement.Disaggregated placement, Optional<String> lastEventId, long now) {
        return buildMessage(new DispatchParameters(
                placement.prefill().id(),
                remaining(now),
                placement.promptPriority(priority()),
                authorisation.current(),
                RequestedWork.PROMPT_ONLY,
                Optional.empty(),
                placement.cacheHolder(),
                lastEventId));
    }

    /**
     * Returns the message that requests the answer from a server.
     *
     * @param cacheSource the prompt cache to transfer, if another engine has done the prefill
     * @param cacheHolder an engine that probably caches the shared beginning of the prompt
     * @param lastEventId the last event that the caller has received, after which a resumed answer continues
     */
    FullHttpRequest answerRequest(
            BackendServer server,
            Optional<CacheSource> cacheSource,
            Optional<BackendServer> cacheHolder,
            Optional<String> lastEventId,
            long now) {
        return buildMessage(new DispatchParameters(
                server.id(),
                remaining(now),
                priority(),
                authorisation.current(),
                RequestedWork.ANSWER,
                cacheSource,
                cacheHolder,
                lastEventId));
    }

    private int priority() {
        return authorisation.current().priority(route.priority());
    }

    private FullHttpRequest buildMessage(DispatchParameters parameters) {
        return OutgoingMessage.request(incoming, protocol, parameters);
    }

    private Duration remaining(long now) {
        return Duration.ofNanos(Math.max(0, deadline - now));
    }
}
