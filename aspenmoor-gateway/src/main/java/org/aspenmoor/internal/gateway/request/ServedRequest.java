package org.aspenmoor.internal.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.aspenmoor.internal.gateway.caller.ActiveRequest;
import org.aspenmoor.internal.gateway.caller.AnswerWriter;
import org.aspenmoor.internal.gateway.caller.IncomingRequest;
import org.aspenmoor.internal.gateway.caller.LocalAnswers;
import org.aspenmoor.internal.gateway.log.LogLine;
import org.aspenmoor.internal.gateway.protocol.AnswerMetadata;
import org.aspenmoor.internal.gateway.protocol.CacheSource;
import org.aspenmoor.internal.gateway.protocol.CallerHeaders;
import org.aspenmoor.internal.serving.AssignedWork;
import org.aspenmoor.internal.serving.AttemptEnd;
import org.aspenmoor.internal.serving.AttemptTracker;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.NextStep;
import org.aspenmoor.internal.serving.Placement;
import org.aspenmoor.internal.serving.PlacementRequest;
import org.aspenmoor.internal.serving.RequestDeadlines;
import org.aspenmoor.internal.serving.RetryRule;
import org.aspenmoor.internal.serving.Route;
import org.aspenmoor.internal.serving.WorkKind;

/**
 * One request of a caller on its way: placed, sent, perhaps repeated, answered exactly once. Confined to the event loop.
 */
final class ServedRequest implements ActiveRequest {
    /** A caller that is refused for want of time or servers comes back no sooner; below it, it only meets the same. */
    private static final Duration SHORTEST_PAUSE = Duration.ofMillis(200);

    private final RequestTools tools;
    private final IncomingRequest incoming;
    private final CallerHeaders caller;
    private final AnswerWriter link;
    private final CallerStream stream;
    private final Route route;
    private final String service;
    private final RequestDeadlines times;
    private final RequestTrace trace;
    private final AttemptMessages messages;
    private final AnswerProgress progress;
    private final LinePlace line;
    private final AttemptTracker account;
    private final CurrentAttempt current;
    private final RepeatPermit permit;
    private final StallWatch stallWatch;
    private final ServerEnds serverEnds;
    private final UnfetchedPrompt unfetched;
    private final TriedServers tried = new TriedServers();
    private final PlacementRequests placements;
    private AnswerAttempt attempt;
    private Future<?> deadlineTimer;
    private boolean over;

    ServedRequest(
            RequestTools tools,
            IncomingRequest incoming,
            CallerHeaders caller,
            AnswerWriter link,
            Route route,
            String service,
            long configurationVersion) {
        this.tools = tools;
        this.incoming = incoming;
        this.caller = caller;
        this.link = link;
        this.stream = new CallerStream(link);
        this.route = route;
        this.service = service;
        this.account = new AttemptTracker(route.retryRule(), route.maxBackends());
        this.current = new CurrentAttempt(tools, service, route.objective());
        this.stallWatch = new StallWatch(tools, route, link::writable, this::stalled);
        this.times = new RequestDeadlines(incoming.receivedAtNanos(), caller.maxWait(), route);
        this.trace = new RequestTrace(
                caller, route, service, configurationVersion, incoming.receivedAtNanos(), times.deadline());
        this.messages = new AttemptMessages(incoming, tools.protocol(), route, times.deadline());
        this.progress = new AnswerProgress(tools.state().placer(), service, caller.prompt(), trace);
        this.line = new LinePlace(tools, this, times, trace);
        this.placements = new PlacementRequests(service, caller, route, times, trace, stream, tried);
        this.permit = new RepeatPermit(tools, service, account, trace);
        this.unfetched = new UnfetchedPrompt(tools, caller.requestId());
        this.serverEnds = new ServerEnds(tools, caller.requestId(), service, incoming, trace);
    }

    void start() {
        tools.state().requested(service);
        progress.wanted(route.timeout(), now());
        long left = Math.max(0, times.deadline() - now());
        deadlineTimer = tools.eventLoop().schedule(this::deadlineReached, left, TimeUnit.NANOSECONDS);
        place();
    }

    /** Goes on after waiting for room at an engine. */
    void goOn() {
        place(placements.next(false, now()));
    }

    /** Ends without having run: its turn cannot come before its deadline. */
    void giveUp(Duration comeBackAfter) {
        trace.because("no engine has room before the deadline");
        conclude(account.stepWithoutRetry(), comeBackAfter);
    }

    String service() {
        return service;
    }

    @Override
    public void callerDisconnected() {
        if (over) {
            return;
        }
        finish(RequestOutcome.CALLER_LEFT);
    }

    @Override
    public void writabilityChanged() {
        current.read(link.writable());
    }

    private void place() {
        place(placements.next(tools.lines().anyFor(service), now()));
    }

    private void place(PlacementRequest wanted) {
        if (keptFromServers()) {
            return;
        }
        switch (tools.state().placer().choose(wanted, now())) {
            case Placement.SingleServer whole -> {
                trace.placed("whole", whole.answerStartSeconds());
                WorkKind kind = caller.prompt().isPresent() ? WorkKind.WHOLE : WorkKind.PLAIN;
                if (kind == WorkKind.WHOLE) {
                    line.departed();
                }
                send(whole.server(), kind, whole.promptSeconds(), Optional.empty(), whole.cacheHolder());
            }
            case Placement.Disaggregated staged -> {
                trace.placed("staged", staged.answerStartSeconds());
                prefill(staged);
            }
            case Placement.Queued held -> line.take(held, times.callerWaitsUntil(trace.lastEvent()));
            case Placement.Refused refused -> {
                trace.because(refused.reason());
                conclude(account.stepWithoutRetry(), refused.retryAfter());
            }
        }
    }

    /** Ends the request if it is kept from servers; returns whether it is. */
    private boolean keptFromServers() {
        Optional<Duration> term = serverEnds.quarantined();
        term.ifPresent(left -> conclude(account.stepWithoutRetry(), left));
        return term.isPresent();
    }

    private void prefill(Placement.Disaggregated staged) {
        line.departed();
        trace.sentTo(staged.prefill());
        AssignedWork work = current.begin(staged.prefill(), WorkKind.PROMPT_ONLY, staged.promptSeconds());
        caller.prompt().ifPresent(prompt -> tools.state().placer().promptAssigned(staged.prefill(), prompt, now()));
        FullHttpRequest message = messages.prompt(staged, stream.lastEvent(), now());
        PrefillAttempt prefill = new PrefillAttempt(this, tools.protocol(), staged, work);
        stallWatch.watch(prefill);
        current.sent(work, tools.connections().send(staged.prefill(), caller.requestId(), message, prefill));
    }

    private void send(
            BackendServer server,
            WorkKind kind,
            double promptSeconds,
            Optional<CacheSource> source,
            Optional<BackendServer> holder) {
        account.attemptStarted();
        trace.answerAsked(tools.state().placer().load(server.id(), now()), now());
        tried.add(server);
        trace.sentTo(server);
        AssignedWork work = current.begin(server, kind, promptSeconds);
        caller.prompt().ifPresent(prompt -> tools.state().placer().promptAssigned(server, prompt, now()));
        attempt = new AnswerAttempt(this, server, work, route.streamed());
        FullHttpRequest message = messages.answer(server, source, holder, stream.lastEvent(), now());
        if (route.retryRule() == RetryRule.AT_MOST_ONCE || route.maxBackends() == 1) {
            stallWatch.cancel();
        } else {
            stallWatch.watch(attempt);
        }
        current.sent(work, tools.connections().send(server, caller.requestId(), message, attempt));
    }

    ServerEnds serverEnds() {
        return serverEnds;
    }

    private void stalled(WatchedAttempt watched) {
        if (over) {
            return;
        }
        switch (watched) {
            case AnswerAttempt answer
            when account.attempts() < route.maxBackends() -> {
                answer.release();
                current.cancel();
                String reason = answer.begun() ? "the server went quiet" : "no answer began in time";
                attemptEnded(answer.work(), new AttemptEnd.Lost(), reason);
            }
            case AnswerAttempt last -> trace.because("the server is silent, and there is no other to ask");
            case PrefillAttempt prefill -> {
                current.cancel();
                prefill.stalled();
            }
        }
    }

    void loadReported(AssignedWork work, AnswerMetadata facts) {
        facts.load().ifPresent(load -> tools.state().placer().loadReported(work, load, now()));
    }

    void prefilled(Placement.Disaggregated placement, AssignedWork work, CacheSource source) {
        tools.state().placer().answerStarted(work, now());
        current.end(work);
        if (over) {
            return;
        }
        account.promptComputed();
        trace.promptReady(placement.prefill(), now());
        ComputedPrompt computed = new ComputedPrompt(placement.prefill(), source);
        unfetched.computed(computed);
        tools.metrics().attempted(service, "prefilled");
        if (!permit.granted()) {
            conclude(account.stepWithoutRetry(), SHORTEST_PAUSE);
            return;
        }
        handOver(computed);
    }

    private void handOver(ComputedPrompt computed) {
        if (keptFromServers()) {
            return;
        }
        Optional<BackendServer> decoder =
                tools.state().placer().chooseDecodeEngine(placements.next(false, now()), computed.engine(), now());
        if (decoder.isEmpty()) {
            trace.because("no engine that may answer is known");
            conclude(account.stepWithoutRetry(), SHORTEST_PAUSE);
            return;
        }
        send(decoder.get(), WorkKind.HANDOFF, 0, Optional.of(computed.source()), Optional.empty());
    }

    /** A computed prompt is only a help: where none came about, one engine does both parts. */
    void prefillEnded(Placement.Disaggregated placement, AssignedWork work, AttemptEnd end, String reason) {
        tools.state().attemptEnded(work, end);
        current.end(work);
        if (over) {
            return;
        }
        account.promptFailed(end);
        tools.metrics().attempted(service, "prefill-failed");
        trace.because("prefill at " + placement.prefill().id() + ": " + reason);
        trace.prefillFailed(tools.state().log(), placement.prefill(), reason);
        tried.stageFailed(placement.prefill());
        if (!permit.granted()) {
            conclude(account.stepWithoutRetry(), SHORTEST_PAUSE);
            return;
        }
        place();
    }

    void answerBegan(AssignedWork work) {
        tools.state().placer().answerStarted(work, now());
        unfetched.fetched();
        stallWatch.begun(attempt);
        if (!stream.begun()) {
            trace.firstByte(now());
            line.answered();
            tools.metrics().firstByte(service, (now() - incoming.receivedAtNanos()) / 1e9);
        }
    }

    void eventCame(HttpResponse head, ByteBuf event) {
        stream.pass(head, event);
        progress.event(attempt.work(), times.allowed(), now());
        if (!link.writable()) {
            current.read(false);
        }
        if (tools.state().placer().shouldMoveAnswer(attempt.work(), now())) {
            goOnElsewhere();
        }
    }

    /** Goes on at another engine after the last event, where that is allowed; else this one tells the answer to its end. */
    private void goOnElsewhere() {
        if (!account.mayResumeElsewhere() || !tools.state().takeRepeat(service)) {
            return;
        }
        AssignedWork left = attempt.work();
        attempt.release();
        current.cancel();
        current.end(left);
        account.attemptEnded(new AttemptEnd.Lost());
        tools.metrics().attempted(service, "moved");
        trace.because("the engine leaves its answers to others");
        place();
    }

    void streamComplete(AssignedWork work, boolean begun) {
        current.end(work);
        if (!stream.begun()) {
            attemptEndedAfterWork(new AttemptEnd.Lost(), begun ? "no event came" : "the stream was empty");
            return;
        }
        progress.whole();
        finish(RequestOutcome.ANSWERED);
        link.endAnswer();
    }

    void answerComplete(AssignedWork work, HttpResponse head, ByteBuf body) {
        current.end(work);
        if (stream.begun()) {
            // A stream was to be continued and this is no stream; written now, it would stand in the middle of the
            // draft.
            body.release();
            trace.because(
                    "the continuation was answered with status " + head.status().code());
            conclude(NextStep.REPORT_UNKNOWN, SHORTEST_PAUSE);
            return;
        }
        finish(RequestOutcome.ANSWERED);
        link.sendAnswer(OutgoingMessage.answer(head, body));
    }

    /** The server's own failure: tried elsewhere where the request may be repeated, else passed on as it is. */
    void failureCame(AssignedWork work, HttpResponse head, ByteBuf body, AnswerMetadata facts) {
        AttemptEnd end = new AttemptEnd.Failed();
        tools.state().attemptEnded(work, end);
        current.end(work);
        NextStep next = account.attemptEnded(end);
        trace.because("the server failed with status " + head.status().code());
        tools.metrics().attempted(service, "failed");
        if (next == NextStep.REPEAT && !stream.begun() && times.deadline() > now() && permit.granted()) {
            body.release();
            place();
            return;
        }
        if (stream.begun() || !facts.signed() || AnswerAttempt.promisesNoRun(head.status())) {
            body.release();
            conclude(NextStep.REPORT_UNKNOWN, SHORTEST_PAUSE);
            return;
        }
        finish(RequestOutcome.FAILURE_PASSED_ON);
        link.sendAnswer(OutgoingMessage.answer(head, body));
    }

    void attemptEnded(AssignedWork work, AttemptEnd end, String reason) {
        tools.state().attemptEnded(work, end);
        current.end(work);
        attemptEndedAfterWork(end, reason);
    }

    private void attemptEndedAfterWork(AttemptEnd end, String reason) {
        if (over) {
            return;
        }
        trace.because(reason);
        tools.metrics().attempted(service, end.getClass().getSimpleName());
        NextStep next = account.attemptEnded(end);
        trace.attemptEnded(tools.state().log(), end, next);
        if (next == NextStep.REPEAT && times.deadline() > now() && serverEnds.mayRepeat() && permit.granted()) {
            tryElsewhere(end);
        } else {
            conclude(next == NextStep.REPEAT ? account.stepWithoutRetry() : next, SHORTEST_PAUSE);
        }
    }

    /**
     * An engine that was not there has not touched a computed prompt, and another can fetch it. One that turned the request
     * away may have found it gone, so it is computed anew, and not where it lapsed.
     */
    private void tryElsewhere(AttemptEnd end) {
        boolean untouched = end instanceof AttemptEnd.Misdirected || end instanceof AttemptEnd.NeverSent;
        if (untouched && unfetched.prompt().isPresent()) {
            handOver(unfetched.prompt().get());
            return;
        }
        if (end instanceof AttemptEnd.NotExecuted) {
            unfetched.prompt().ifPresent(computed -> tried.add(computed.engine()));
        }
        unfetched.free();
        place();
    }

    private void deadlineReached() {
        if (over) {
            return;
        }
        trace.because("the time was over; " + trace.reason());
        conclude(account.mayHaveRun() ? NextStep.REPORT_UNKNOWN : NextStep.REFUSE, SHORTEST_PAUSE);
    }

    private void conclude(NextStep step, Duration pause) {
        if (over) {
            return;
        }
        if (stream.begun()) {
            finish(RequestOutcome.CUT);
            link.abortAnswer();
            return;
        }
        if (step == NextStep.REFUSE) {
            finish(RequestOutcome.NOT_RUN);
            Duration comeBack = pause.compareTo(SHORTEST_PAUSE) < 0 ? SHORTEST_PAUSE : pause;
            link.sendAnswer(LocalAnswers.notRun(trace.reason(), tools.state().spread(comeBack)));
            return;
        }
        finish(RequestOutcome.UNKNOWN);
        link.sendAnswer(LocalAnswers.outcomeUnknown(trace.reason(), times.deadline() <= now()));
    }

    /** Ends everything that belongs to the request; its answer is sent right after, if its caller is still there. */
    private void finish(RequestOutcome outcome) {
        over = true;
        if (outcome == RequestOutcome.ANSWERED) {
            serverEnds.answered();
        }
        tools.lines().remove(this);
        deadlineTimer.cancel(false);
        stallWatch.cancel();
        current.abandon();
        if (attempt != null) {
            attempt.release();
        }
        unfetched.free();
        incoming.body().release();
        tools.metrics().ended(service, outcome);
        LogLine line = outcome == RequestOutcome.ANSWERED
                ? tools.state().log().usual("request-ended")
                : tools.state().log().notable("request-ended");
        trace.write(line, outcome, account.attempts(), tools.state().placer().load(trace.server(), now()), now());
    }

    long now() {
        return tools.state().time().monotonicNanoseconds();
    }
}
