package org.aspenmoor.internal.gateway.request;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.aspenmoor.internal.gateway.caller.ActiveRequest;
import org.aspenmoor.internal.gateway.caller.AnswerWriter;
import org.aspenmoor.internal.gateway.caller.IncomingRequest;
import org.aspenmoor.internal.gateway.caller.LocalAnswers;
import org.aspenmoor.internal.gateway.caller.RequestService;
import org.aspenmoor.internal.gateway.protocol.CallerHeaders;
import org.aspenmoor.internal.gateway.protocol.CallerProtocol;
import org.aspenmoor.internal.organisation.Authorisation;
import org.aspenmoor.internal.serving.ConnectionLimits;
import org.aspenmoor.internal.serving.RetryRule;
import org.aspenmoor.internal.serving.Route;
import org.aspenmoor.internal.serving.ServingConfiguration;
import org.aspenmoor.internal.serving.VersionRequirement;
import org.aspenmoor.internal.serving.origin.ResumeDecision;
import org.aspenmoor.internal.serving.origin.StreamOrigin;

/** Finds the route of each incoming request and starts serving it. Confined to the event loop. */
public final class RequestDispatcher implements RequestService {
    /** Retry delay for callers of a process that has just started; by then it has probably read its configuration. */
    private static final Duration START_RETRY_DELAY = Duration.ofSeconds(1);

    /**
     * How long a request waits at most for a process that has just started. After a power failure of all entries, the
     * port accepts callers some tenths of a second before the configuration is read. Most callers refused at that
     * moment have no further attempt and get no answer, whereas those that wait are answered as soon as the entry is
     * ready. Reading the configuration takes half a second, and longer if the store is unavailable.
     */
    private static final Duration MAX_START_WAIT = Duration.ofSeconds(1);

    /** Interval at which requests that wait for the process to become ready are checked. */
    private static final long START_POLL_MILLISECONDS = 20;

    private final ServingContext context;
    private final CallerProtocol callerProtocol;
    private final long maxBodyBytes;
    private final List<DeferredRequest> deferredRequests = new ArrayList<>();
    private Future<?> startPoll;
    private long reservedBodyBytes;
    private boolean stopping;

    /**
     * Creates a dispatcher.
     *
     * @param maxBodyBytes maximum total size of the request bodies held at once
     */
    public RequestDispatcher(ServingContext context, CallerProtocol callerProtocol, long maxBodyBytes) {
        this.context = context;
        this.callerProtocol = callerProtocol;
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Makes callers' connections close after their current request, and refuses requests that may last too long.
     *
     * @param endsAt until when requests are served, in nanoseconds of the monotonic clock
     */
    public void stop(long endsAt) {
        stopping = true;
        context.state().stopAdmission().stop(endsAt);
    }

    @Override
    public ActiveRequest serve(IncomingRequest incoming, AnswerWriter writer) {
        CallerHeaders caller = callerProtocol.readHead(incoming.head());
        return ready() ? serveNow(incoming, caller, writer) : deferUntilReady(incoming, caller, writer);
    }

    private boolean ready() {
        return context.state().ready() && context.state().configuration().isPresent();
    }

    private ActiveRequest deferUntilReady(IncomingRequest incoming, CallerHeaders caller, AnswerWriter writer) {
        Duration maxWait = caller.maxWait()
                .filter(callerLimit -> callerLimit.compareTo(MAX_START_WAIT) < 0)
                .orElse(MAX_START_WAIT);
        DeferredRequest deferred = new DeferredRequest(
                incoming.receivedAtNanos() + maxWait.toNanos(),
                () -> serveNow(incoming, caller, writer),
                () -> refuse(
                        incoming,
                        caller,
                        writer,
                        RequestOutcome.NOT_RUN,
                        LocalAnswers.notRun(
                                "this entry has just started and has not read its configuration yet",
                                context.state().withJitter(START_RETRY_DELAY))),
                () -> incoming.body().release());
        deferredRequests.add(deferred);
        if (startPoll == null) {
            startPoll = context.eventLoop()
                    .scheduleWithFixedDelay(
                            this::pollDeferred,
                            START_POLL_MILLISECONDS,
                            START_POLL_MILLISECONDS,
                            TimeUnit.MILLISECONDS);
        }
        return deferred;
    }

    private void pollDeferred() {
        long now = context.state().time().monotonicNanos();
        boolean ready = ready();
        deferredRequests.removeIf(each -> each.serveOrRefuseIfDue(ready, now));
        if (deferredRequests.isEmpty()) {
            startPoll.cancel(false);
            startPoll = null;
        }
    }

    private ActiveRequest serveNow(IncomingRequest incoming, CallerHeaders caller, AnswerWriter writer) {
        Optional<ServingConfiguration> configuration = context.state().configuration();
        Optional<Route> route = configuration.get().match(incoming.host(), incoming.path());
        if (route.isEmpty()) {
            return refuse(
                    incoming,
                    caller,
                    writer,
                    RequestOutcome.NO_ROUTE,
                    LocalAnswers.of(HttpResponseStatus.NOT_FOUND, "No route matches this host and path."));
        }
        RequestAuthorisation authorisation = new RequestAuthorisation(context.state(), route.get(), caller.key());
        if (authorisation.renew() instanceof Authorisation.Denied denied) {
            return refuse(
                    incoming,
                    caller,
                    writer,
                    RequestOutcome.UNAUTHORISED,
                    LocalAnswers.unauthorised(denied.reason().text()));
        }
        Function<Destination, ActiveRequest> serve = destination -> serve(
                new RoutedRequest(
                        incoming,
                        caller,
                        route.get(),
                        authorisation,
                        destination.service(),
                        destination.version(),
                        configuration.get().version()),
                writer);
        if (!route.get().streamed() || caller.resumption().isEmpty()) {
            String service = route.get().serviceFor(context.state().random().nextDouble());
            return serve.apply(new Destination(service, versionOfNewAnswer(route.get(), service)));
        }
        ResumedRequest resumed = new ResumedRequest(
                context,
                caller,
                decision -> switch (decision) {
                    case ResumeDecision.Continue resume -> serve.apply(Destination.of(resume.origin()));
                    case ResumeDecision.Refuse refusal -> refuseToResume(incoming, caller, writer, refusal);
                },
                () -> endUnserved(incoming, caller, RequestOutcome.CALLER_LEFT));
        resumed.start(authorisation.organisationName(), route.get().services());
        return resumed;
    }

    private VersionRequirement versionOfNewAnswer(Route route, String service) {
        return route.retryRule() == RetryRule.RESUMABLE
                ? new VersionRequirement.PreferablyShared(context.origins().statedVersions(service))
                : new VersionRequirement.Any();
    }

    private ActiveRequest serve(RoutedRequest routed, AnswerWriter writer) {
        ServedRequest request = new ServedRequest(context, routed, writer);
        request.start();
        return request;
    }

    private ActiveRequest refuseToResume(
            IncomingRequest incoming, CallerHeaders caller, AnswerWriter writer, ResumeDecision.Refuse refusal) {
        return refuse(
                incoming,
                caller,
                writer,
                RequestOutcome.NOT_RUN,
                LocalAnswers.notRun(
                        refusal.reason() + "; the stream may have to be begun anew",
                        context.state().withJitter(FinalAnswer.MIN_RETRY_DELAY)));
    }

    /** The service that serves a request, and which of its software versions may do so. */
    private record Destination(String service, VersionRequirement version) {
        static Destination of(StreamOrigin origin) {
            return new Destination(origin.service(), new VersionRequirement.Exactly(origin.version()));
        }
    }

    @Override
    public ActiveRequest refuse(IncomingRequest incoming, AnswerWriter writer) {
        return refuse(
                incoming,
                callerProtocol.readHead(incoming.head()),
                writer,
                RequestOutcome.NOT_RUN,
                LocalAnswers.notRun(
                        "this process is stopping", context.state().withJitter(FinalAnswer.MIN_RETRY_DELAY)));
    }

    @Override
    public void discard(IncomingRequest incoming) {
        endUnserved(incoming, callerProtocol.readHead(incoming.head()), RequestOutcome.CALLER_LEFT);
    }

    @Override
    public ConnectionLimits connectionLimits() {
        return context.state().configuration().map(ServingConfiguration::limits).orElse(ConnectionLimits.defaults());
    }

    @Override
    public boolean stopping() {
        return stopping;
    }

    @Override
    public boolean reserveBodyBytes(int bytes) {
        if (reservedBodyBytes + bytes > maxBodyBytes || !context.buffers().addBody(bytes)) {
            return false;
        }
        reservedBodyBytes += bytes;
        return true;
    }

    @Override
    public void releaseBodyBytes(int bytes) {
        reservedBodyBytes -= bytes;
        context.buffers().addBody(-bytes);
    }

    private ActiveRequest refuse(
            IncomingRequest incoming,
            CallerHeaders caller,
            AnswerWriter writer,
            RequestOutcome outcome,
            FullHttpResponse answer) {
        endUnserved(incoming, caller, outcome);
        writer.sendAnswer(answer);
        return new LocallyAnsweredRequest();
    }

    /** Ends a request that was not sent to any backend server. */
    private void endUnserved(IncomingRequest incoming, CallerHeaders caller, RequestOutcome outcome) {
        incoming.body().release();
        context.metrics().requestEnded("", outcome);
        context.state()
                .log()
                .notable("request-ended")
                .with("request", caller.requestId())
                .with("outcome", outcome.name())
                .with("host", incoming.host())
                .with("path", incoming.path())
                .with(
                        "configuration",
                        context.state()
                                .configuration()
                                .map(ServingConfiguration::version)
                                .orElse(-1L))
                .write();
    }
}
