package org.aspenmoor.internal.gateway.request;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.internal.gateway.caller.ActiveRequest;
import org.aspenmoor.internal.gateway.caller.CallerLink;
import org.aspenmoor.internal.gateway.caller.IncomingRequest;
import org.aspenmoor.internal.gateway.caller.LocalAnswers;
import org.aspenmoor.internal.gateway.caller.RequestService;
import org.aspenmoor.internal.gateway.protocol.CallerProtocol;
import org.aspenmoor.internal.gateway.protocol.CallerRequest;
import org.aspenmoor.internal.serving.ConnectionLimits;
import org.aspenmoor.internal.serving.Route;
import org.aspenmoor.internal.serving.ServingConfiguration;

/** Finds the route of each request and starts it on its way. Confined to the event loop. */
public final class RequestDispatcher implements RequestService {
    /** Callers of a process that has just started come back when it has probably read its configuration. */
    private static final Duration START_PAUSE = Duration.ofSeconds(1);

    private final RequestTools tools;
    private final CallerProtocol callers;
    private final long mostBodyBytes;
    private long bodyBytes;
    private boolean stopping;

    /**
     * Makes a dispatcher.
     *
     * @param mostBodyBytes how many bytes of request bodies may be held at once
     */
    public RequestDispatcher(RequestTools tools, CallerProtocol callers, long mostBodyBytes) {
        this.tools = tools;
        this.callers = callers;
        this.mostBodyBytes = mostBodyBytes;
    }

    /** Keeps no caller's connection from now on. */
    public void stop() {
        stopping = true;
    }

    @Override
    public ActiveRequest serve(IncomingRequest incoming, CallerLink link) {
        CallerRequest caller = callers.read(incoming.head());
        Optional<ServingConfiguration> configuration = tools.state().configuration();
        if (!tools.state().ready() || configuration.isEmpty()) {
            return refuse(
                    incoming,
                    caller,
                    link,
                    RequestOutcome.NOT_RUN,
                    LocalAnswers.notRun(
                            "this entry has just started", tools.state().spread(START_PAUSE)));
        }
        Optional<Route> route = configuration.get().match(host(incoming), path(incoming));
        if (route.isEmpty()) {
            return refuse(
                    incoming,
                    caller,
                    link,
                    RequestOutcome.NO_ROUTE,
                    LocalAnswers.of(HttpResponseStatus.NOT_FOUND, "No route leads anywhere for this host and path."));
        }
        String service = route.get().serviceFor(tools.state().random().nextDouble());
        ServedRequest request = new ServedRequest(
                tools,
                incoming,
                caller,
                link,
                route.get(),
                service,
                configuration.get().version());
        request.start();
        return request;
    }

    @Override
    public ConnectionLimits limits() {
        return tools.state().configuration().map(ServingConfiguration::limits).orElse(ConnectionLimits.usual());
    }

    @Override
    public boolean stopping() {
        return stopping;
    }

    @Override
    public boolean reserve(int bytes) {
        if (bodyBytes + bytes > mostBodyBytes) {
            return false;
        }
        bodyBytes += bytes;
        return true;
    }

    @Override
    public void release(int bytes) {
        bodyBytes -= bytes;
    }

    private ActiveRequest refuse(
            IncomingRequest incoming,
            CallerRequest caller,
            CallerLink link,
            RequestOutcome outcome,
            FullHttpResponse answer) {
        incoming.body().release();
        tools.metrics().ended("", outcome);
        tools.state()
                .log()
                .notable("request-ended")
                .with("request", caller.id())
                .with("outcome", outcome.name())
                .with("host", host(incoming))
                .with("path", path(incoming))
                .with(
                        "configuration",
                        tools.state()
                                .configuration()
                                .map(ServingConfiguration::version)
                                .orElse(-1L))
                .write();
        link.answer(answer);
        return new EndedRequest();
    }

    private static String host(IncomingRequest incoming) {
        String host = incoming.head().headers().get(HttpHeaderNames.HOST, "");
        int port = host.lastIndexOf(':');
        return port < 0 ? host : host.substring(0, port);
    }

    private static String path(IncomingRequest incoming) {
        String uri = incoming.head().uri();
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
