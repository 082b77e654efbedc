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

/** Serves one caller's request: placement, attempts, repeats, exactly one answer. Confined to the event loop. */
final class ServedRequest implements ActiveRequest {
    /** Minimum retry delay of a refused caller; after a shorter delay the cause of the refusal usually still exists. */
    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(200);

    private final ServingContext context;
    private final IncomingRequest incoming;
    private final CallerRequest caller;
    private final CallerLink link;
    private final CallerStream stream;
    private final Route route;
    private final String service;
    private final RequestTimes times;
    private final RequestTrace trace;
    private final AttemptMessages messages;
    private final AnswerProgress answerProgress;
    private final QueueTracker queue;
    private final AttemptAccount attempts;
    private final CurrentAttempt currentAttempt;
    private final RepeatPermit permit;
    private final StallDetector stallDetector;
    private final FatalRequestCheck fatalCheck;
    private final PendingHandoff pendingHandoff;
    private final TriedServers triedServers = new TriedServers();
    private final PlacementRequestFactory placements;
    private AnswerAttempt answerAttempt;
    private Future<?> deadlineTimer;
    private boolean finished;

    ServedRequest(
            ServingContext context,
            IncomingRequest incoming,
            CallerRequest caller,
            CallerLink link,
            Route route,
            String service,
            long configurationVersion) {
        this.context = context;
        this.incoming = incoming;
        this.caller = caller;
        this.link = link;
        this.stream = new CallerStream(link);
        this.route = route;
        this.service = service;
        this.attempts = new AttemptAccount(route.repeatRule(), route.mostBackends());
        this.currentAttempt = new CurrentAttempt(context, service, route.objective());
        this.stallDetector = new StallDetector(context, route, link::writable, this::stalled);
        this.times = new RequestTimes(incoming.arrivedAt(), caller.patience(), route);
        this.trace =
                new RequestTrace(caller, route, service, configurationVersion, incoming.arrivedAt(), times.deadline());
        this.messages = new AttemptMessages(incoming, context.protocol(), route, times.deadline());
        this.answerProgress = new AnswerProgress(context.state().placement(), service, caller.prompt(), trace);
        this.queue = new QueueTracker(context, this, times, trace);
        this.placements = new PlacementRequestFactory(service, caller, route, times, trace, stream, triedServers);
        this.permit = new RepeatPermit(context, service, attempts, trace);
        this.pendingHandoff = new PendingHandoff(context, caller.id());
        this.fatalCheck = new FatalRequestCheck(context, caller.id(), service, incoming, trace);
    }

    void start() {
        context.state().requestArrived(service);
        answerProgress.expectWithin(route.timeout(), now());
        long remaining = Math.max(0, times.deadline() - now());
        deadlineTimer = context.eventLoop().schedule(this::deadlineReached, remaining, TimeUnit.NANOSECONDS);
        assignServer();
    }

    /** Continues when the request leaves the wait queue because an engine may have capacity. */
    void continueFromQueue() {
        assignServer(placements.create(false, now()));
    }

    /** Ends the request without having run it: it cannot leave the wait queue before its deadline. */
    void refuseFromQueue(Duration retryDelay) {
        trace.setReason("no engine has capacity before the deadline");
        conclude(attempts.conclusion(), retryDelay);
    }

    String service() {
        return service;
    }

    @Override
    public void callerLeft() {
        if (finished) {
            return;
        }
        finish(RequestOutcome.CALLER_LEFT);
    }

    @Override
    public void writabilityChanged() {
        currentAttempt.setReading(link.writable());
    }

    private void assignServer() {
        assignServer(placements.create(context.waitQueues().anyWaiting(service), now()));
    }

    private void assignServer(PlacementRequest placementRequest) {
        if (refusedByQuarantine()) {
            return;
        }
        switch (context.state().placement().choose(placementRequest, now())) {
            case Placement.Whole whole -> {
                trace.placementChosen("whole", whole.expectedSeconds());
                WorkKind kind = caller.prompt().isPresent() ? WorkKind.WHOLE : WorkKind.PLAIN;
                if (kind == WorkKind.WHOLE) {
                    queue.dispatched();
                }
                send(whole.server(), kind, whole.promptSeconds(), Optional.empty(), whole.holder());
            }
            case Placement.Staged staged -> {
                trace.placementChosen("staged", staged.expectedSeconds());
                prefill(staged);
            }
            case Placement.Held held -> queue.enqueue(held, times.wantedBy(trace.lastEventTime()));
            case Placement.Refused refused -> {
                trace.setReason(refused.reason());
                conclude(attempts.conclusion(), refused.comeBackAfter());
            }
        }
    }

    /** Refuses the request if it is in quarantine; returns whether it is. */
    private boolean refusedByQuarantine() {
        Optional<Duration> remaining = fatalCheck.checkQuarantine();
        remaining.ifPresent(retryDelay -> conclude(attempts.conclusion(), retryDelay));
        return remaining.isPresent();
    }

    private void prefill(Placement.Staged staged) {
        queue.dispatched();
        trace.sentTo(staged.prefill());
        PlacedWork work = currentAttempt.begin(staged.prefill(), WorkKind.PROMPT_ONLY, staged.promptSeconds());
        caller.prompt().ifPresent(prompt -> context.state().placement().promptPlaced(staged.prefill(), prompt, now()));
        FullHttpRequest message = messages.prefillRequest(staged, stream.lastEventId(), now());
        PrefillAttempt prefill = new PrefillAttempt(this, context.protocol(), staged, work);
        stallDetector.watch(prefill);
        currentAttempt.setExchange(work, context.connections().send(staged.prefill(), caller.id(), message, prefill));
    }

    private void send(
            BackendServer server,
            WorkKind kind,
            double promptSeconds,
            Optional<CacheSource> source,
            Optional<BackendServer> holder) {
        attempts.began();
        trace.answerRequested(context.state().placement().load(server.id(), now()), now());
        triedServers.add(server);
        trace.sentTo(server);
        PlacedWork work = currentAttempt.begin(server, kind, promptSeconds);
        caller.prompt().ifPresent(prompt -> context.state().placement().promptPlaced(server, prompt, now()));
        answerAttempt = new AnswerAttempt(this, server, work, route.streamed());
        FullHttpRequest message = messages.answerRequest(server, source, holder, stream.lastEventId(), now());
        if (route.repeatRule() == RepeatRule.AT_MOST_ONCE || route.mostBackends() == 1) {
            stallDetector.cancel();
        } else {
            stallDetector.watch(answerAttempt);
        }
        currentAttempt.setExchange(work, context.connections().send(server, caller.id(), message, answerAttempt));
    }

    FatalRequestCheck fatalCheck() {
        return fatalCheck;
    }

    private void stalled(WatchedAttempt watched) {
        if (finished) {
            return;
        }
        switch (watched) {
            case AnswerAttempt answer
            when attempts.attempts() < route.mostBackends() -> {
                answer.release();
                currentAttempt.cancel();
                String reason = answer.begun() ? "the answer stalled" : "no answer began within the stall limit";
                attemptEnded(answer.work(), new AttemptEnd.Lost(), reason);
            }
            case AnswerAttempt last -> trace.setReason("the server is unresponsive, and no further attempt is allowed");
            case PrefillAttempt prefill -> {
                currentAttempt.cancel();
                prefill.stalled();
            }
        }
    }

    void loadReported(PlacedWork work, AnswerFacts facts) {
        facts.load().ifPresent(load -> context.state().placement().reported(work, load, now()));
    }

    void prefilled(Placement.Staged placement, PlacedWork work, CacheSource source) {
        context.state().placement().answerBegan(work, now());
        currentAttempt.end(work);
        if (finished) {
            return;
        }
        attempts.promptComputed();
        trace.prefillCompleted(placement.prefill(), now());
        PrefilledPrompt prefilled = new PrefilledPrompt(placement.prefill(), source);
        pendingHandoff.begin(prefilled);
        context.metrics().attemptEnded(service, "prefilled");
        if (!permit.tryAcquire()) {
            conclude(attempts.conclusion(), MIN_RETRY_DELAY);
            return;
        }
        handOff(prefilled);
    }

    private void handOff(PrefilledPrompt prefilled) {
        if (refusedByQuarantine()) {
            return;
        }
        Optional<BackendServer> decoder =
                context.state().placement().chooseDecoder(placements.create(false, now()), prefilled.engine(), now());
        if (decoder.isEmpty()) {
            trace.setReason("no engine is available to generate the answer");
            conclude(attempts.conclusion(), MIN_RETRY_DELAY);
            return;
        }
        send(decoder.get(), WorkKind.HAND_OVER, 0, Optional.of(prefilled.source()), Optional.empty());
    }

    /** Handles a failed prefill, which is optional: without it, a single engine does both prefill and decode. */
    void prefillFailed(Placement.Staged placement, PlacedWork work, AttemptEnd end, String reason) {
        context.state().attemptEnded(work, end);
        currentAttempt.end(work);
        if (finished) {
            return;
        }
        attempts.promptFailed(end);
        context.metrics().attemptEnded(service, "prefill-failed");
        trace.setReason("prefill at " + placement.prefill().id() + ": " + reason);
        trace.logPrefillFailed(context.state().log(), placement.prefill(), reason);
        triedServers.prefillFailed(placement.prefill());
        if (!permit.tryAcquire()) {
            conclude(attempts.conclusion(), MIN_RETRY_DELAY);
            return;
        }
        assignServer();
    }

    void answerBegan(PlacedWork work) {
        context.state().placement().answerBegan(work, now());
        pendingHandoff.completed();
        stallDetector.answerBegan(answerAttempt);
        if (!stream.begun()) {
            trace.firstByteReceived(now());
            queue.answerBegan();
            context.metrics().answerBegan(service, (now() - incoming.arrivedAt()) / 1e9);
        }
    }

    void eventReceived(HttpResponse head, ByteBuf event) {
        stream.forward(head, event);
        answerProgress.eventReceived(answerAttempt.work(), times.allowed(), now());
        if (!link.writable()) {
            currentAttempt.setReading(false);
        }
        if (context.state().placement().answerLeaves(answerAttempt.work(), now())) {
            continueElsewhere();
        }
    }

    /** Continues after the last event at another engine if that is allowed; otherwise the current engine goes on. */
    private void continueElsewhere() {
        if (!attempts.mayGoOnElsewhere() || !context.state().tryTakeRepeat(service)) {
            return;
        }
        PlacedWork interrupted = answerAttempt.work();
        answerAttempt.release();
        currentAttempt.cancel();
        currentAttempt.end(interrupted);
        attempts.ended(new AttemptEnd.Lost());
        context.metrics().attemptEnded(service, "moved");
        trace.setReason("the engine changes its role, so its answer continues elsewhere");
        assignServer();
    }

    void streamComplete(PlacedWork work, boolean begun) {
        currentAttempt.end(work);
        if (!stream.begun()) {
            handleAttemptEnd(new AttemptEnd.Lost(), begun ? "the stream had no event" : "the stream was empty");
            return;
        }
        answerProgress.completed();
        finish(RequestOutcome.ANSWERED);
        link.end();
    }

    void answerComplete(PlacedWork work, HttpResponse head, ByteBuf body) {
        currentAttempt.end(work);
        if (stream.begun()) {
            // The answer to the continuation is not a stream; if forwarded, it would corrupt the caller's stream.
            body.release();
            trace.setReason("the continuation got status " + head.status().code());
            conclude(NextStep.REPORT_UNKNOWN, MIN_RETRY_DELAY);
            return;
        }
        finish(RequestOutcome.ANSWERED);
        link.answer(OutgoingMessage.answer(head, body));
    }

    /** Handles an error answer of a server: retries elsewhere if the request may be repeated, otherwise forwards it. */
    void failureReceived(PlacedWork work, HttpResponse head, ByteBuf body, AnswerFacts facts) {
        AttemptEnd end = new AttemptEnd.Failed();
        context.state().attemptEnded(work, end);
        currentAttempt.end(work);
        NextStep next = attempts.ended(end);
        trace.setReason("the server failed with status " + head.status().code());
        context.metrics().attemptEnded(service, "failed");
        if (next == NextStep.REPEAT && !stream.begun() && times.deadline() > now() && permit.tryAcquire()) {
            body.release();
            assignServer();
            return;
        }
        if (stream.begun() || !facts.signed() || AnswerAttempt.impliesNoRun(head.status())) {
            body.release();
            conclude(NextStep.REPORT_UNKNOWN, MIN_RETRY_DELAY);
            return;
        }
        finish(RequestOutcome.FAILURE_PASSED_ON);
        link.answer(OutgoingMessage.answer(head, body));
    }

    void attemptEnded(PlacedWork work, AttemptEnd end, String reason) {
        context.state().attemptEnded(work, end);
        currentAttempt.end(work);
        handleAttemptEnd(end, reason);
    }

    private void handleAttemptEnd(AttemptEnd end, String reason) {
        if (finished) {
            return;
        }
        trace.setReason(reason);
        context.metrics().attemptEnded(service, end.getClass().getSimpleName());
        NextStep next = attempts.ended(end);
        trace.logAttemptEnded(context.state().log(), end, next);
        if (next == NextStep.REPEAT && times.deadline() > now() && fatalCheck.mayRepeat() && permit.tryAcquire()) {
            retryElsewhere(end);
        } else {
            conclude(next == NextStep.REPEAT ? attempts.conclusion() : next, MIN_RETRY_DELAY);
        }
    }

    /**
     * Retries elsewhere. If the decode engine was not reached, another one can transfer the prefill cache. If it
     * rejected the request, the cache may have expired, so the prefill is repeated at another engine.
     */
    private void retryElsewhere(AttemptEnd end) {
        boolean untouched = end instanceof AttemptEnd.Misdirected || end instanceof AttemptEnd.NeverSent;
        if (untouched && pendingHandoff.prompt().isPresent()) {
            handOff(pendingHandoff.prompt().get());
            return;
        }
        if (end instanceof AttemptEnd.NotExecuted) {
            pendingHandoff.prompt().ifPresent(prefilled -> triedServers.add(prefilled.engine()));
        }
        pendingHandoff.release();
        assignServer();
    }

    private void deadlineReached() {
        if (finished) {
            return;
        }
        trace.setReason("the deadline was reached; " + trace.reason());
        conclude(attempts.mayHaveRun() ? NextStep.REPORT_UNKNOWN : NextStep.REFUSE, MIN_RETRY_DELAY);
    }

    private void conclude(NextStep step, Duration retryDelay) {
        if (finished) {
            return;
        }
        if (stream.begun()) {
            finish(RequestOutcome.CUT);
            link.breakOff();
            return;
        }
        if (step == NextStep.REFUSE) {
            finish(RequestOutcome.NOT_RUN);
            Duration effectiveDelay = retryDelay.compareTo(MIN_RETRY_DELAY) < 0 ? MIN_RETRY_DELAY : retryDelay;
            link.answer(LocalAnswers.notRun(trace.reason(), context.state().withJitter(effectiveDelay)));
            return;
        }
        finish(RequestOutcome.UNKNOWN);
        link.answer(LocalAnswers.unknown(trace.reason(), times.deadline() <= now()));
    }

    /** Releases all resources of the request and logs its outcome; the answer, if any, is to be sent afterwards. */
    private void finish(RequestOutcome outcome) {
        finished = true;
        if (outcome == RequestOutcome.ANSWERED) {
            fatalCheck.answered();
        }
        context.waitQueues().remove(this);
        deadlineTimer.cancel(false);
        stallDetector.cancel();
        currentAttempt.abandon();
        if (answerAttempt != null) {
            answerAttempt.release();
        }
        pendingHandoff.release();
        incoming.body().release();
        context.metrics().requestEnded(service, outcome);
        LogLine line = outcome == RequestOutcome.ANSWERED
                ? context.state().log().routine("request-ended")
                : context.state().log().notable("request-ended");
        trace.write(
                line, outcome, attempts.attempts(), context.state().placement().load(trace.server(), now()), now());
    }

    long now() {
        return context.state().time().monotonicNanoseconds();
    }
}
