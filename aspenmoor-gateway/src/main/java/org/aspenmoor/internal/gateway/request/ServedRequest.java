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
 * Serves one request of a caller: assigns it to a server, sends it, repeats it where that is allowed, and answers it
 * exactly once. Confined to the event loop.
 */
final class ServedRequest implements ActiveRequest {
    /** Minimum retry delay of a refused caller; after a shorter delay the cause of the refusal usually still exists. */
    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(200);

    private final RequestDependencies dependencies;
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
    private final QueueTracker queueTracker;
    private final AttemptAccount attemptTracker;
    private final CurrentAttempt currentAttempt;
    private final RepeatPermit repeatPermit;
    private final StallDetector stallDetector;
    private final FatalRequestCheck fatalRequestCheck;
    private final PendingHandoff pendingHandoff;
    private final TriedServers triedServers = new TriedServers();
    private final PlacementRequestFactory placementRequests;
    private AnswerAttempt answerAttempt;
    private Future<?> deadlineTimer;
    private boolean finished;

    ServedRequest(
            RequestDependencies dependencies,
            IncomingRequest incoming,
            CallerRequest caller,
            CallerLink link,
            Route route,
            String service,
            long configurationVersion) {
        this.dependencies = dependencies;
        this.incoming = incoming;
        this.caller = caller;
        this.link = link;
        this.stream = new CallerStream(link);
        this.route = route;
        this.service = service;
        this.attemptTracker = new AttemptAccount(route.repeatRule(), route.mostBackends());
        this.currentAttempt = new CurrentAttempt(dependencies, service, route.objective());
        this.stallDetector = new StallDetector(dependencies, route, link::writable, this::stalled);
        this.times = new RequestTimes(incoming.arrivedAt(), caller.patience(), route);
        this.trace =
                new RequestTrace(caller, route, service, configurationVersion, incoming.arrivedAt(), times.deadline());
        this.messages = new AttemptMessages(incoming, dependencies.protocol(), route, times.deadline());
        this.answerProgress =
                new AnswerProgress(dependencies.state().placementPolicy(), service, caller.prompt(), trace);
        this.queueTracker = new QueueTracker(dependencies, this, times, trace);
        this.placementRequests =
                new PlacementRequestFactory(service, caller, route, times, trace, stream, triedServers);
        this.repeatPermit = new RepeatPermit(dependencies, service, attemptTracker, trace);
        this.pendingHandoff = new PendingHandoff(dependencies, caller.id());
        this.fatalRequestCheck = new FatalRequestCheck(dependencies, caller.id(), service, incoming, trace);
    }

    void start() {
        dependencies.state().requestArrived(service);
        answerProgress.expectWithin(route.timeout(), now());
        long remaining = Math.max(0, times.deadline() - now());
        deadlineTimer = dependencies.eventLoop().schedule(this::deadlineReached, remaining, TimeUnit.NANOSECONDS);
        assignServer();
    }

    /** Continues when the request leaves the wait queue because an engine may have capacity. */
    void continueFromQueue() {
        assignServer(placementRequests.create(false, now()));
    }

    /** Ends the request without having run it: it cannot leave the wait queue before its deadline. */
    void refuseFromQueue(Duration retryDelay) {
        trace.setReason("no engine has capacity before the deadline");
        conclude(attemptTracker.conclusion(), retryDelay);
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
        assignServer(placementRequests.create(dependencies.waitQueues().anyWaiting(service), now()));
    }

    private void assignServer(PlacementRequest placementRequest) {
        if (refusedByQuarantine()) {
            return;
        }
        switch (dependencies.state().placementPolicy().choose(placementRequest, now())) {
            case Placement.Whole whole -> {
                trace.placementChosen("whole", whole.expectedSeconds());
                WorkKind kind = caller.prompt().isPresent() ? WorkKind.WHOLE : WorkKind.PLAIN;
                if (kind == WorkKind.WHOLE) {
                    queueTracker.dispatched();
                }
                send(whole.server(), kind, whole.promptSeconds(), Optional.empty(), whole.holder());
            }
            case Placement.Staged staged -> {
                trace.placementChosen("staged", staged.expectedSeconds());
                prefill(staged);
            }
            case Placement.Held held -> queueTracker.enqueue(held, times.wantedBy(trace.lastEventTime()));
            case Placement.Refused refused -> {
                trace.setReason(refused.reason());
                conclude(attemptTracker.conclusion(), refused.comeBackAfter());
            }
        }
    }

    /** Refuses the request if it is in quarantine; returns whether it is. */
    private boolean refusedByQuarantine() {
        Optional<Duration> remaining = fatalRequestCheck.checkQuarantine();
        remaining.ifPresent(retryDelay -> conclude(attemptTracker.conclusion(), retryDelay));
        return remaining.isPresent();
    }

    private void prefill(Placement.Staged staged) {
        queueTracker.dispatched();
        trace.sentTo(staged.prefill());
        PlacedWork work = currentAttempt.begin(staged.prefill(), WorkKind.PROMPT_ONLY, staged.promptSeconds());
        caller.prompt()
                .ifPresent(
                        prompt -> dependencies.state().placementPolicy().promptPlaced(staged.prefill(), prompt, now()));
        FullHttpRequest message = messages.prefillRequest(staged, stream.lastEventId(), now());
        PrefillAttempt prefill = new PrefillAttempt(this, dependencies.protocol(), staged, work);
        stallDetector.watch(prefill);
        currentAttempt.setExchange(
                work, dependencies.connections().send(staged.prefill(), caller.id(), message, prefill));
    }

    private void send(
            BackendServer server,
            WorkKind kind,
            double promptSeconds,
            Optional<CacheSource> source,
            Optional<BackendServer> holder) {
        attemptTracker.began();
        trace.answerRequested(dependencies.state().placementPolicy().load(server.id(), now()), now());
        triedServers.add(server);
        trace.sentTo(server);
        PlacedWork work = currentAttempt.begin(server, kind, promptSeconds);
        caller.prompt()
                .ifPresent(prompt -> dependencies.state().placementPolicy().promptPlaced(server, prompt, now()));
        answerAttempt = new AnswerAttempt(this, server, work, route.streamed());
        FullHttpRequest message = messages.answerRequest(server, source, holder, stream.lastEventId(), now());
        if (route.repeatRule() == RepeatRule.AT_MOST_ONCE || route.mostBackends() == 1) {
            stallDetector.cancel();
        } else {
            stallDetector.watch(answerAttempt);
        }
        currentAttempt.setExchange(work, dependencies.connections().send(server, caller.id(), message, answerAttempt));
    }

    FatalRequestCheck fatalRequestCheck() {
        return fatalRequestCheck;
    }

    private void stalled(WatchedAttempt watched) {
        if (finished) {
            return;
        }
        switch (watched) {
            case AnswerAttempt answer
            when attemptTracker.attempts() < route.mostBackends() -> {
                answer.release();
                currentAttempt.cancel();
                String reason =
                        answer.begun() ? "the answer of the server stalled" : "no answer began within the stall limit";
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
        facts.load().ifPresent(load -> dependencies.state().placementPolicy().reported(work, load, now()));
    }

    void prefilled(Placement.Staged placement, PlacedWork work, CacheSource source) {
        dependencies.state().placementPolicy().answerBegan(work, now());
        currentAttempt.end(work);
        if (finished) {
            return;
        }
        attemptTracker.promptComputed();
        trace.prefillCompleted(placement.prefill(), now());
        PrefilledPrompt prefilledPrompt = new PrefilledPrompt(placement.prefill(), source);
        pendingHandoff.begin(prefilledPrompt);
        dependencies.metrics().attemptEnded(service, "prefilled");
        if (!repeatPermit.tryAcquire()) {
            conclude(attemptTracker.conclusion(), MIN_RETRY_DELAY);
            return;
        }
        handOff(prefilledPrompt);
    }

    private void handOff(PrefilledPrompt prefilledPrompt) {
        if (refusedByQuarantine()) {
            return;
        }
        Optional<BackendServer> decoder = dependencies
                .state()
                .placementPolicy()
                .chooseDecoder(placementRequests.create(false, now()), prefilledPrompt.engine(), now());
        if (decoder.isEmpty()) {
            trace.setReason("no engine is available to generate the answer");
            conclude(attemptTracker.conclusion(), MIN_RETRY_DELAY);
            return;
        }
        send(decoder.get(), WorkKind.HAND_OVER, 0, Optional.of(prefilledPrompt.source()), Optional.empty());
    }

    /**
     * Handles a failed prefill. A separate prefill is optional: without one, a single engine does prefill and decode.
     */
    void prefillFailed(Placement.Staged placement, PlacedWork work, AttemptEnd end, String reason) {
        dependencies.state().attemptEnded(work, end);
        currentAttempt.end(work);
        if (finished) {
            return;
        }
        attemptTracker.promptFailed(end);
        dependencies.metrics().attemptEnded(service, "prefill-failed");
        trace.setReason("prefill at " + placement.prefill().id() + ": " + reason);
        trace.logPrefillFailed(dependencies.state().log(), placement.prefill(), reason);
        triedServers.prefillFailed(placement.prefill());
        if (!repeatPermit.tryAcquire()) {
            conclude(attemptTracker.conclusion(), MIN_RETRY_DELAY);
            return;
        }
        assignServer();
    }

    void answerBegan(PlacedWork work) {
        dependencies.state().placementPolicy().answerBegan(work, now());
        pendingHandoff.completed();
        stallDetector.answerBegan(answerAttempt);
        if (!stream.begun()) {
            trace.firstByteReceived(now());
            queueTracker.answerBegan();
            dependencies.metrics().answerBegan(service, (now() - incoming.arrivedAt()) / 1e9);
        }
    }

    void eventReceived(HttpResponse head, ByteBuf event) {
        stream.forward(head, event);
        answerProgress.eventReceived(answerAttempt.work(), times.allowed(), now());
        if (!link.writable()) {
            currentAttempt.setReading(false);
        }
        if (dependencies.state().placementPolicy().answerLeaves(answerAttempt.work(), now())) {
            continueElsewhere();
        }
    }

    /**
     * Continues at another engine after the last event if that is allowed; otherwise the current one completes the
     * answer.
     */
    private void continueElsewhere() {
        if (!attemptTracker.mayGoOnElsewhere() || !dependencies.state().tryTakeRepeat(service)) {
            return;
        }
        PlacedWork interrupted = answerAttempt.work();
        answerAttempt.release();
        currentAttempt.cancel();
        currentAttempt.end(interrupted);
        attemptTracker.ended(new AttemptEnd.Lost());
        dependencies.metrics().attemptEnded(service, "moved");
        trace.setReason("the engine changes its role, so its answer continues elsewhere");
        assignServer();
    }

    void streamComplete(PlacedWork work, boolean begun) {
        currentAttempt.end(work);
        if (!stream.begun()) {
            handleAttemptEnd(
                    new AttemptEnd.Lost(), begun ? "the stream ended without an event" : "the stream was empty");
            return;
        }
        answerProgress.completed();
        finish(RequestOutcome.ANSWERED);
        link.end();
    }

    void answerComplete(PlacedWork work, HttpResponse head, ByteBuf body) {
        currentAttempt.end(work);
        if (stream.begun()) {
            // The continuation of a stream was expected, but the answer is not a stream; if forwarded, it would
            // appear in the middle of the caller's stream.
            body.release();
            trace.setReason("the continuation of the stream was answered with status "
                    + head.status().code());
            conclude(NextStep.REPORT_UNKNOWN, MIN_RETRY_DELAY);
            return;
        }
        finish(RequestOutcome.ANSWERED);
        link.answer(OutgoingMessage.answer(head, body));
    }

    /** Handles an error answer of a server: retries elsewhere if the request may be repeated, otherwise forwards it. */
    void failureReceived(PlacedWork work, HttpResponse head, ByteBuf body, AnswerFacts facts) {
        AttemptEnd end = new AttemptEnd.Failed();
        dependencies.state().attemptEnded(work, end);
        currentAttempt.end(work);
        NextStep next = attemptTracker.ended(end);
        trace.setReason("the server failed with status " + head.status().code());
        dependencies.metrics().attemptEnded(service, "failed");
        if (next == NextStep.REPEAT && !stream.begun() && times.deadline() > now() && repeatPermit.tryAcquire()) {
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
        dependencies.state().attemptEnded(work, end);
        currentAttempt.end(work);
        handleAttemptEnd(end, reason);
    }

    private void handleAttemptEnd(AttemptEnd end, String reason) {
        if (finished) {
            return;
        }
        trace.setReason(reason);
        dependencies.metrics().attemptEnded(service, end.getClass().getSimpleName());
        NextStep next = attemptTracker.ended(end);
        trace.logAttemptEnded(dependencies.state().log(), end, next);
        if (next == NextStep.REPEAT
                && times.deadline() > now()
                && fatalRequestCheck.mayRepeat()
                && repeatPermit.tryAcquire()) {
            retryElsewhere(end);
        } else {
            conclude(next == NextStep.REPEAT ? attemptTracker.conclusion() : next, MIN_RETRY_DELAY);
        }
    }

    /**
     * Retries at another server. If the decode engine was not reached, the prefill cache is unchanged and another
     * engine can transfer it. If the decode engine rejected the request, the cache may have expired, so the prefill
     * is repeated at another engine.
     */
    private void retryElsewhere(AttemptEnd end) {
        boolean untouched = end instanceof AttemptEnd.Misdirected || end instanceof AttemptEnd.NeverSent;
        if (untouched && pendingHandoff.prompt().isPresent()) {
            handOff(pendingHandoff.prompt().get());
            return;
        }
        if (end instanceof AttemptEnd.NotExecuted) {
            pendingHandoff.prompt().ifPresent(prefilledPrompt -> triedServers.add(prefilledPrompt.engine()));
        }
        pendingHandoff.release();
        assignServer();
    }

    private void deadlineReached() {
        if (finished) {
            return;
        }
        trace.setReason("the deadline was reached; " + trace.reason());
        conclude(attemptTracker.mayHaveRun() ? NextStep.REPORT_UNKNOWN : NextStep.REFUSE, MIN_RETRY_DELAY);
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
            link.answer(LocalAnswers.notRun(trace.reason(), dependencies.state().withJitter(effectiveDelay)));
            return;
        }
        finish(RequestOutcome.UNKNOWN);
        link.answer(LocalAnswers.unknown(trace.reason(), times.deadline() <= now()));
    }

    /**
     * Releases all resources of the request and logs its outcome; the caller of this method then sends the answer, if
     * any.
     */
    private void finish(RequestOutcome outcome) {
        finished = true;
        if (outcome == RequestOutcome.ANSWERED) {
            fatalRequestCheck.answered();
        }
        dependencies.waitQueues().remove(this);
        deadlineTimer.cancel(false);
        stallDetector.cancel();
        currentAttempt.abandon();
        if (answerAttempt != null) {
            answerAttempt.release();
        }
        pendingHandoff.release();
        incoming.body().release();
        dependencies.metrics().requestEnded(service, outcome);
        LogLine line = outcome == RequestOutcome.ANSWERED
                ? dependencies.state().log().routine("request-ended")
                : dependencies.state().log().notable("request-ended");
        trace.write(
                line,
                outcome,
                attemptTracker.attempts(),
                dependencies.state().placementPolicy().load(trace.serverId(), now()),
                now());
    }

    long now() {
        return dependencies.state().time().monotonicNanoseconds();
    }
}
