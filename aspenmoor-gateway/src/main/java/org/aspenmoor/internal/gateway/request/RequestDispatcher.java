package org.aspenmoor.internal.gateway.request;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
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

    /**
     * How long a request waits for a process that has just started. After a loss of power of all entries, callers find a
     * port some tenths of a second before the configuration is read; refused there, most had no further try and got
     * nothing, while those that wait are answered at once. Reading takes half a second; a store that is away takes longer.
     */
    private static final Duration LONGEST_START_WAIT = Duration.ofSeconds(1);

    /** How often the requests that wait for the start are looked at. */
    private static final long START_LOOK_MILLISECONDS = 20;

    private final RequestTools tools;
    private final CallerProtocol callers;
    private final long mostBodyBytes;
    private final List<StartingRequest> starting = new ArrayList<>();
    private Future<?> startLook;
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
        return ready() ? serveNow(incoming, caller, link) : waitForStart(incoming, caller, link);
    }

    private boolean ready() {
        return tools.state().ready() && tools.state().configuration().isPresent();
    }

    private ActiveRequest waitForStart(IncomingRequest incoming, CallerRequest caller, CallerLink link) {
        Duration wait = caller.patience()
                .filter(patience -> patience.compareTo(LONGEST_START_WAIT) < 0)
                .orElse(LONGEST_START_WAIT);
        StartingRequest waiting = new StartingRequest(
                incoming.arrivedAt() + wait.toNanos(),
                () -> serveNow(incoming, caller, link),
                () -> refuse(
                        incoming,
                        caller,
                        link,
                        RequestOutcome.NOT_RUN,
                        LocalAnswers.notRun(
                                "this entry has just started", tools.state().spread(START_PAUSE))),
                () -> incoming.body().release());
        starting.add(waiting);
        if (startLook == null) {
            startLook = tools.eventLoop()
                    .scheduleWithFixedDelay(
                            this::lookAtStarting,
                            START_LOOK_MILLISECONDS,
                            START_LOOK_MILLISECONDS,
                            TimeUnit.MILLISECONDS);
        }
        return waiting;
    }

    private void lookAtStarting() {
        long now = tools.state().time().monotonicNanos();
        boolean ready = ready();
        starting.removeIf(each -> each.settled(ready, now));
        if (starting.isEmpty()) {
            startLook.cancel(false);
            startLook = null;
        }
    }

    private ActiveRequest serveNow(IncomingRequest incoming, CallerRequest caller, CallerLink link) {
        Optional<ServingConfiguration> configuration = tools.state().configuration();
        Optional<Route> route = configuration.get().match(incoming.host(), incoming.path());
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
    public void drop(IncomingRequest incoming) {
        end(incoming, callers.read(incoming.head()), RequestOutcome.CALLER_LEFT);
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
        end(incoming, caller, outcome);
        link.answer(answer);
        return new EndedRequest();
    }

    /** Ends a request that went nowhere. */
    private void end(IncomingRequest incoming, CallerRequest caller, RequestOutcome outcome) {
        incoming.body().release();
        tools.metrics().ended("", outcome);
        tools.state()
                .log()
                .notable("request-ended")
                .with("request", caller.id())
                .with("outcome", outcome.name())
                .with("host", incoming.host())
                .with("path", incoming.path())
                .with(
                        "configuration",
                        tools.state()
                                .configuration()
                                .map(ServingConfiguration::version)
                                .orElse(-1L))
                .write();
    }
}
