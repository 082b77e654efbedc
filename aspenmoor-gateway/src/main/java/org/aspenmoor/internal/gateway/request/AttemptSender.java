package org.aspenmoor.internal.gateway.request;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.Optional;
import org.aspenmoor.internal.gateway.protocol.CacheSource;
import org.aspenmoor.internal.gateway.protocol.CallerHeaders;
import org.aspenmoor.internal.gateway.protocol.Resumption;
import org.aspenmoor.internal.serving.AssignedWork;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.Placement;
import org.aspenmoor.internal.serving.RequestDeadlines;
import org.aspenmoor.internal.serving.RetryRule;
import org.aspenmoor.internal.serving.Route;
import org.aspenmoor.internal.serving.WorkKind;

/** Sends one request to the servers that were chosen for it. Confined to the event loop. */
final class AttemptSender {
    private final ServingContext context;
    private final ServedRequest request;
    private final CallerHeaders caller;
    private final Route route;
    private final CallerStream stream;
    private final AttemptMessages messages;
    private final CurrentAttempt currentAttempt;
    private final StallDetector stallDetector;
    private final TriedServers triedServers;
    private final StopCheck stopCheck;
    private final RequestTrace trace;

    AttemptSender(
            ServingContext context,
            ServedRequest request,
            RoutedRequest routed,
            CallerStream stream,
            RequestDeadlines deadlines,
            CurrentAttempt currentAttempt,
            StallDetector stallDetector,
            TriedServers triedServers,
            StopCheck stopCheck,
            RequestTrace trace) {
        this.context = context;
        this.request = request;
        this.caller = routed.caller();
        this.route = routed.route();
        this.stream = stream;
        this.messages = new AttemptMessages(
                routed.incoming(), context.protocol(), route, routed.authorisation(), deadlines.deadline());
        this.currentAttempt = currentAttempt;
        this.stallDetector = stallDetector;
        this.triedServers = triedServers;
        this.stopCheck = stopCheck;
        this.trace = trace;
    }

    /** Requests the prefill from one engine; another one will decode. */
    void sendPrefill(Placement.Disaggregated placement) {
        long now = now();
        BackendServer engine = placement.prefill();
        trace.sentTo(engine);
        stopCheck.started();
        AssignedWork work = currentAttempt.begin(engine, WorkKind.PROMPT_ONLY, placement.promptSeconds());
        assignPrompt(engine, now);
        FullHttpRequest message = messages.prefillRequest(placement, stream.lastEventId(), now);
        PrefillAttempt attempt = new PrefillAttempt(request, context.protocol(), placement, work);
        stallDetector.watch(attempt);
        currentAttempt.setExchange(work, context.connections().send(engine, caller.requestId(), message, attempt));
    }

    /**
     * Requests the answer from a server.
     *
     * @param promptSeconds how long the server will need for the prompt
     * @param cacheSource the prompt cache to transfer, if another engine has done the prefill
     * @param cacheHolder an engine that probably caches the shared beginning of the prompt
     */
    void send(
            BackendServer server,
            WorkKind kind,
            double promptSeconds,
            Optional<CacheSource> cacheSource,
            Optional<BackendServer> cacheHolder) {
        long now = now();
        trace.answerRequested(context.state().placement().load(server.id(), now), now);
        triedServers.add(server);
        trace.sentTo(server);
        if (cacheSource.isEmpty()) {
            stopCheck.started();
        }
        AssignedWork work = currentAttempt.begin(server, kind, promptSeconds);
        assignPrompt(server, now);
        AnswerAttempt attempt = new AnswerAttempt(request, server, work, expectedAnswer(), context.buffers());
        request.attemptStarting(attempt);
        FullHttpRequest message = messages.answerRequest(server, cacheSource, cacheHolder, stream.lastEventId(), now);
        if (route.retryRule() == RetryRule.AT_MOST_ONCE || route.maxBackends() == 1) {
            stallDetector.cancel();
        } else {
            stallDetector.watch(attempt);
        }
        currentAttempt.setExchange(work, context.connections().send(server, caller.requestId(), message, attempt));
    }

    /** Returns what the next attempt has to get; only the rest of a stream that the caller takes up may be empty. */
    private ExpectedAnswer expectedAnswer() {
        if (!route.streamed()) {
            return ExpectedAnswer.BUFFERED;
        }
        boolean takenUp = route.retryRule() == RetryRule.RESUMABLE
                && caller.resumption().flatMap(Resumption::lastEventId).isPresent();
        return takenUp && !stream.begun() ? ExpectedAnswer.REST_OF_STREAM : ExpectedAnswer.STREAM;
    }

    private void assignPrompt(BackendServer server, long now) {
        caller.prompt()
                .ifPresent(prompt ->
                        context.state().placement().promptAssignments().assigned(server, prompt, now));
    }

    private long now() {
        return context.state().time().monotonicNanos();
    }
}
