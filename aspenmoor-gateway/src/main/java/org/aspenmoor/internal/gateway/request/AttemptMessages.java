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

/** Makes what servers are sent for one request. */
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

    /** Returns the message that has only the prompt computed. */
    FullHttpRequest prompt(Placement.Disaggregated staged, Optional<String> lastEvent, long now) {
        return message(new DispatchParameters(
                staged.prefill().id(),
                left(now),
                staged.promptPriority(route.priority()),
                RequestedWork.PROMPT_ONLY,
                Optional.empty(),
                staged.cacheHolder(),
                lastEvent));
    }

    /** Returns the message that asks for the answer, after an event that the caller has already got. */
    FullHttpRequest answer(
            BackendServer server,
            Optional<CacheSource> source,
            Optional<BackendServer> holder,
            Optional<String> lastEvent,
            long now) {
        return message(new DispatchParameters(
                server.id(), left(now), route.priority(), RequestedWork.ANSWER, source, holder, lastEvent));
    }

    private FullHttpRequest message(DispatchParameters delivery) {
        return OutgoingMessage.request(incoming, protocol, delivery);
    }

    private Duration left(long now) {
        return Duration.ofNanos(Math.max(0, deadline - now));
    }
}
