package org.aspenmoor.internal.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.aspenmoor.internal.gateway.caller.ActiveRequest;
import org.aspenmoor.internal.gateway.caller.CallerLink;
import org.aspenmoor.internal.gateway.caller.IncomingRequest;
import org.aspenmoor.internal.gateway.caller.LocalAnswers;
import org.aspenmoor.internal.gateway.log.LogLine;
import org.aspenmoor.internal.gateway.protocol.AnswerFacts;
import org.aspenmoor.internal.gateway.protocol.CacheSource;
import org.aspenmoor.internal.gateway.protocol.CallerRequest;
import org.aspenmoor.internal.serving.AttemptAccount;
import org.aspenmoor.internal.serving.AttemptEnd;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.NextStep;
import org.aspenmoor.internal.serving.PlacedWork;
import org.aspenmoor.internal.serving.Placement;
import org.aspenmoor.internal.serving.PlacementRequest;
import org.aspenmoor.internal.serving.RepeatRule;
import org.aspenmoor.internal.serving.RequestTimes;
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
    private final CallerRequest caller;
    private final CallerLink link;
    private final CallerStream stream;
    private final Route route;
    private final String service;
    private final RequestTimes times;
    private final RequestTrace trace;
    private final AttemptMessages messages;
    private final AnswerProgress progress;
    private final LinePlace line;
    private final AttemptAccount account;
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
            CallerRequest caller,
            CallerLink link,
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
        this.account = new AttemptAccount(route.repeatRule(), route.mostBackends());
        this.current = new CurrentAttempt(tools, service, route.objective());
        this.stallWatch = new StallWatch(tools, route, link::writable, this::stalled);
        this.times = new RequestTimes(incoming.arrivedAt(), caller.patience(), route);
        this.trace =
                new RequestTrace(caller, route, service, configurationVersion, incoming.arrivedAt(), times.deadline());
        this.messages = new AttemptMessages(incoming, tools.protocol(), route, times.deadline());
        this.progress = new AnswerProgress(tools.state().placer(), service, caller.prompt(), trace);
        this.line = new LinePlace(tools, this, times, trace);
        this.placements = new PlacementRequests(service, caller, route, times, trace, stream, tried);
        this.permit = new RepeatPermit(tools, service, account, trace);
        this.unfetched = new UnfetchedPrompt(tools, caller.id());
        this.serverEnds = new ServerEnds(tools, caller.id(), service, incoming, trace);
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
        conclude(account.conclusion(), comeBackAfter);
    }

    String service() {
        return service;
    }

    @Override
    public void callerLeft() {
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
            case Placement.Whole whole -> {
                trace.placed("whole", whole.expectedSeconds());
                WorkKind kind = caller.prompt().isPresent() ? WorkKind.WHOLE : WorkKind.PLAIN;
                if (kind == WorkKind.WHOLE) {
                    line.departed();
                }
                send(whole.server(), kind, whole.promptSeconds(), Optional.empty(), whole.holder());
            }
            case Placement.Staged staged -> {
                trace.placed("staged", staged.expectedSeconds());
                prefill(staged);
            }
            case Placement.Held held -> line.take(held, times.wantedBy(trace.lastEvent()));
            case Placement.Refused refused -> {
                trace.because(refused.reason());
                conclude(account.conclusion(), refused.comeBackAfter());
            }
        }
    }

    /** Ends the request if it is kept from servers; returns whether it is. */
    private boolean keptFromServers() {
        Optional<Duration> term = serverEnds.quarantined();
        term.ifPresent(left -> conclude(account.conclusion(), left));
        return term.isPresent();
    }

    private void prefill(Placement.Staged staged) {
        line.departed();
        trace.sentTo(staged.prefill());
        PlacedWork work = current.begin(staged.prefill(), WorkKind.PROMPT_ONLY, staged.promptSeconds());
        caller.prompt().ifPresent(prompt -> tools.state().placer().promptPlaced(staged.prefill(), prompt, now()));
        FullHttpRequest message = messages.prompt(staged, stream.lastEvent(), now());
        PrefillAttempt prefill = new PrefillAttempt(this, tools.protocol(), staged, work);
        stallWatch.watch(prefill);
        current.sent(work, tools.connections().send(staged.prefill(), caller.id(), message, prefill));
    }

    private void send(
            BackendServer server,
            WorkKind kind,
            double promptSeconds,
            Optional<CacheSource> source,
            Optional<BackendServer> holder) {
        account.began();
        trace.answerAsked(tools.state().placer().load(server.id(), now()), now());
        tried.add(server);
        trace.sentTo(server);
        PlacedWork work = current.begin(server, kind, promptSeconds);
        caller.prompt().ifPresent(prompt -> tools.state().placer().promptPlaced(server, prompt, now()));
        attempt = new AnswerAttempt(this, server, work, route.streamed());
        FullHttpRequest message = messages.answer(server, source, holder, stream.lastEvent(), now());
        if (route.repeatRule() == RepeatRule.AT_MOST_ONCE || route.mostBackends() == 1) {
            stallWatch.cancel();
        } else {
            stallWatch.watch(attempt);
        }
        current.sent(work, tools.connections().send(server, caller.id(), message, attempt));
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
            when account.attempts() < route.mostBackends() -> {
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

    void loadReported(PlacedWork work, AnswerFacts facts) {
        facts.load().ifPresent(load -> tools.state().placer().reported(work, load, now()));
    }

    void prefilled(Placement.Staged placement, PlacedWork work, CacheSource source) {
        tools.state().placer().answerBegan(work, now());
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
            conclude(account.conclusion(), SHORTEST_PAUSE);
            return;
        }
        handOver(computed);
    }

    private void handOver(ComputedPrompt computed) {
        if (keptFromServers()) {
            return;
        }
        Optional<BackendServer> decoder =
                tools.state().placer().chooseDecoder(placements.next(false, now()), computed.engine(), now());
        if (decoder.isEmpty()) {
            trace.because("no engine that may answer is known");
            conclude(account.conclusion(), SHORTEST_PAUSE);
            return;
        }
        send(decoder.get(), WorkKind.HAND_OVER, 0, Optional.of(computed.source()), Optional.empty());
    }

    /** A computed prompt is only a help: where none came about, one engine does both parts. */
    void prefillEnded(Placement.Staged placement, PlacedWork work, AttemptEnd end, String reason) {
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
            conclude(account.conclusion(), SHORTEST_PAUSE);
            return;
        }
        place();
    }

    void answerBegan(PlacedWork work) {
        tools.state().placer().answerBegan(work, now());
        unfetched.fetched();
        stallWatch.begun(attempt);
        if (!stream.begun()) {
            trace.firstByte(now());
            line.answered();
            tools.metrics().firstByte(service, (now() - incoming.arrivedAt()) / 1e9);
        }
    }

    void eventCame(HttpResponse head, ByteBuf event) {
        stream.pass(head, event);
        progress.event(attempt.work(), times.allowed(), now());
        if (!link.writable()) {
            current.read(false);
        }
        if (tools.state().placer().answerLeaves(attempt.work(), now())) {
            goOnElsewhere();
        }
    }

    /** Goes on at another engine after the last event, where that is allowed; else this one tells the answer to its end. */
    private void goOnElsewhere() {
        if (!account.mayGoOnElsewhere() || !tools.state().takeRepeat(service)) {
            return;
        }
        PlacedWork left = attempt.work();
        attempt.release();
        current.cancel();
        current.end(left);
        account.ended(new AttemptEnd.Lost());
        tools.metrics().attempted(service, "moved");
        trace.because("the engine leaves its answers to others");
        place();
    }

    void streamComplete(PlacedWork work, boolean begun) {
        current.end(work);
        if (!stream.begun()) {
            attemptEndedAfterWork(new AttemptEnd.Lost(), begun ? "no event came" : "the stream was empty");
            return;
        }
        progress.whole();
        finish(RequestOutcome.ANSWERED);
        link.end();
    }

    void answerComplete(PlacedWork work, HttpResponse head, ByteBuf body) {
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
        link.answer(OutgoingMessage.answer(head, body));
    }

    /** The server's own failure: tried elsewhere where the request may be repeated, else passed on as it is. */
    void failureCame(PlacedWork work, HttpResponse head, ByteBuf body, AnswerFacts facts) {
        AttemptEnd end = new AttemptEnd.Failed();
        tools.state().attemptEnded(work, end);
        current.end(work);
        NextStep next = account.ended(end);
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
        link.answer(OutgoingMessage.answer(head, body));
    }

    void attemptEnded(PlacedWork work, AttemptEnd end, String reason) {
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
        NextStep next = account.ended(end);
        trace.attemptEnded(tools.state().log(), end, next);
        if (next == NextStep.REPEAT && times.deadline() > now() && serverEnds.mayRepeat() && permit.granted()) {
            tryElsewhere(end);
        } else {
            conclude(next == NextStep.REPEAT ? account.conclusion() : next, SHORTEST_PAUSE);
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
            link.breakOff();
            return;
        }
        if (step == NextStep.REFUSE) {
            finish(RequestOutcome.NOT_RUN);
            Duration comeBack = pause.compareTo(SHORTEST_PAUSE) < 0 ? SHORTEST_PAUSE : pause;
            link.answer(LocalAnswers.notRun(trace.reason(), tools.state().spread(comeBack)));
            return;
        }
        finish(RequestOutcome.UNKNOWN);
        link.answer(LocalAnswers.unknown(trace.reason(), times.deadline() <= now()));
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
        return tools.state().time().monotonicNanos();
    }
}
