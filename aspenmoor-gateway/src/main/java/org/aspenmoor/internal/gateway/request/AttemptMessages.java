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
    private final long deadline;

    AttemptMessages(IncomingRequest incoming, BackendProtocol protocol, Route route, long deadline) {
        this.incoming = incoming;
        this.protocol = protocol;
        this.route = route;
        this.deadline = deadline;
    }

    /** Returns the message that asks an engine for prefill only. */
    FullHttpRequest prefillRequest(Placement.Disaggregated staged, Optional<String> lastEventId, long now) {
        return buildMessage(new DispatchParameters(
                staged.prefill().id(),
                remaining(now),
                staged.promptPriority(route.priority()),
                RequestedWork.PROMPT_ONLY,
                Optional.empty(),
                staged.cacheHolder(),
                lastEventId));
    }

    /**
     * Returns the message that asks a server for the answer.
     *
     * @param source the prompt cache to transfer, if another engine has done the prefill
     * @param holder an engine that probably caches the shared beginning of the prompt
     * @param lastEventId the last event that the caller has received, after which a resumed answer continues
     */
    FullHttpRequest answerRequest(
            BackendServer server,
            Optional<CacheSource> source,
            Optional<BackendServer> holder,
            Optional<String> lastEventId,
            long now) {
        return buildMessage(new DispatchParameters(
                server.id(), remaining(now), route.priority(), RequestedWork.ANSWER, source, holder, lastEventId));
    }

    private FullHttpRequest buildMessage(DispatchParameters delivery) {
        return OutgoingMessage.request(incoming, protocol, delivery);
    }

    private Duration remaining(long now) {
        return Duration.ofNanos(Math.max(0, deadline - now));
    }
}
