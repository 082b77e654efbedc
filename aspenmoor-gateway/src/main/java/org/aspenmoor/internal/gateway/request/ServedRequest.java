package org.aspenmoor.internal.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.internal.gateway.caller.ActiveRequest;
import org.aspenmoor.internal.gateway.caller.AnswerWriter;
import org.aspenmoor.internal.gateway.protocol.AnswerMetadata;
import org.aspenmoor.internal.gateway.protocol.CacheSource;
import org.aspenmoor.internal.gateway.protocol.CallerHeaders;
import org.aspenmoor.internal.serving.AssignedWork;
import org.aspenmoor.internal.serving.AttemptEnd;
import org.aspenmoor.internal.serving.AttemptTracker;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.NextStep;
import org.aspenmoor.internal.serving.Placement;
import org.aspenmoor.internal.serving.PlacementPolicy;
import org.aspenmoor.internal.serving.PlacementRequest;
import org.aspenmoor.internal.serving.RequestDeadlines;
import org.aspenmoor.internal.serving.Route;
import org.aspenmoor.internal.serving.WorkKind;

/** Serves one caller's request with one or more attempts and exactly one answer. Confined to the event loop. */
final class ServedRequest implements ActiveRequest {
    private final ServingContext context;
    private final RoutedRequest request;
    private final AnswerWriter writer;
    private final CallerStream stream;
    private final StreamStart streamStart;
    private final String service;
    private final RequestDeadlines deadlines;
    private final RequestTrace trace;
    private final AttemptSender sender;
    private final AnswerProgress answerProgress;
    private final QueueTracker queue;
    private final AttemptTracker attempts;
    private final CurrentAttempt currentAttempt;
    private final RetryPermit permit;
    private final StallDetector stallDetector;
    private final FatalRequestCheck fatalCheck;
    private final StopCheck stop;
    private final SendCheck sendCheck;
    private final AnswerRelocation relocation;
    private final AttemptRecorder recorder;
    private final AttemptReplacement replacement;
    private final RequestShare share;
    private final FinalAnswer finalAnswer;
    private final PendingHandoff pendingHandoff;
    private final TriedServers triedServers = new TriedServers();
    private final PlacementRequestFactory placements;
    private final RequestTimers timers;
    private AnswerAttempt answerAttempt;
    private boolean finished;

    ServedRequest(ServingContext context, RoutedRequest request, AnswerWriter writer) {
        this.context = context;
        this.request = request;
        this.writer = writer;
        this.service = request.service();
        CallerHeaders caller = request.caller();
        Route route = request.route();
        RequestAuthorisation authorisation = request.authorisation();
        this.stream = new CallerStream(writer, request.version());
        this.streamStart = new StreamStart(context.origins(), request);
        this.attempts = new AttemptTracker(route.retryRule(), route.maxBackends());
        this.currentAttempt = new CurrentAttempt(context, service, route.objective());
        this.stallDetector = new StallDetector(context, route, writer::writable, this::stalled);
        this.deadlines = new RequestDeadlines(request.incoming().receivedAtNanos(), caller.maxWait(), route);
        this.trace = new RequestTrace(request, deadlines.deadline());
        this.share = new RequestShare(context, request, trace);
        this.answerProgress = new AnswerProgress(context.state().placement(), service, caller.prompt(), trace);
        this.queue = new QueueTracker(context, this, deadlines, share, trace);
        this.placements = new PlacementRequestFactory(service, caller, route, deadlines, trace, stream, triedServers);
        this.permit = new RetryPermit(context, service, attempts, share, trace);
        this.stop = new StopCheck(context, request, stream, deadlines, trace);
        this.sender = new AttemptSender(
                context, this, request, stream, deadlines, currentAttempt, stallDetector, triedServers, stop, trace);
        this.pendingHandoff = new PendingHandoff(context, caller.requestId());
        this.fatalCheck = new FatalRequestCheck(context, caller, service, request.incoming(), trace);
        this.sendCheck = new SendCheck(context.state(), writer, authorisation, fatalCheck, stop, share, trace);
        this.relocation = new AnswerRelocation(context, service, caller, deadlines, attempts, trace);
        this.recorder = new AttemptRecorder(context, service, attempts, share, triedServers, stop, trace);
        this.replacement = new AttemptReplacement(
                context, this, attempts, currentAttempt, permit, sendCheck, pendingHandoff, recorder, trace);
        this.timers = new RequestTimers(context.eventLoop());
        this.finalAnswer = new FinalAnswer(context.state(), writer, deadlines, trace);
    }

    void start() {
        context.state().requestArrived(service);
        answerProgress.expectWithin(request.route().timeout(), now());
        timers.atDeadline(deadlines.deadline() - now(), () -> endBecause("the deadline was reached"));
        assignServer();
    }

    /** Continues when the request leaves the wait queue because an engine may have capacity. */
    void continueFromQueue() {
        if (currentAttempt.isOpen()) {
            stallDetector.checkNow();
            return;
        }
        assignServer(placements.create(false, now()));
    }

    /**
     * Ends the wait for an engine with capacity, which would take too long. A request that has not run is refused, and a
     * stream that has begun is not interrupted in favour of other requests.
     */
    void refuseFromQueue(Duration retryDelay) {
        if (stream.begun()) {
            placements.endQueueing();
            continueFromQueue();
        } else if (!currentAttempt.isOpen()) {
            trace.setReason("no engine has capacity before the deadline");
            conclude(attempts.stepWithoutRetry(), retryDelay);
        }
    }

    String service() {
        return service;
    }

    @Override
    public void callerDisconnected() {
        if (finished) {
            return;
        }
        AttemptProgress progress = currentAttempt.progress();
        context.metrics().callerDisconnected(service, progress);
        trace.setReason("the caller disconnected; attempt " + progress);
        finish(RequestOutcome.CALLER_LEFT);
    }

    @Override
    public void writabilityChanged() {
        currentAttempt.setReading(writer.writable());
    }

    @Override
    public void processStopping() {
        if (!finished && !currentAttempt.isOpen()) {
            stop.refusal().ifPresent(refusal -> refuse(refusal, this::assignServer));
        }
    }

    @Override
    public void processEnding() {
        endBecause("this process ends");
    }

    private void assignServer() {
        assignServer(placements.create(context.waitQueues().anyWaiting(service), now()));
    }

    private void assignServer(PlacementRequest placementRequest) {
        if (finished || refusedBeforeSend(this::assignServer)) {
            return;
        }
        follow(context.state().placement().choose(placementRequest, now()));
    }

    /** Performs what the placement says. */
    void follow(Placement placement) {
        switch (placement) {
            case Placement.SingleServer single -> {
                trace.placementChosen("whole", single.answerStartSeconds());
                WorkKind kind = request.caller().prompt().isPresent() ? WorkKind.WHOLE : WorkKind.PLAIN;
                if (kind == WorkKind.WHOLE) {
                    queue.dispatched();
                }
                sender.send(single.server(), kind, single.promptSeconds(), Optional.empty(), single.cacheHolder());
            }
            case Placement.Disaggregated disaggregated -> {
                trace.placementChosen("staged", disaggregated.answerStartSeconds());
                queue.dispatched();
                sender.sendPrefill(disaggregated);
            }
            case Placement.Queued queued -> queue.enqueue(queued, deadlines.callerWaitsUntil(trace.lastEventTime()));
            case Placement.Refused refused -> {
                share.noRoom();
                trace.setReason(refused.reason());
                retryRestOrConclude(refused.retryAfter());
            }
        }
    }

    /** Refuses the request, or has it wait, if it must not be sent now; returns whether it does not go on yet. */
    private boolean refusedBeforeSend(Runnable goOn) {
        Optional<SendRefusal> refusal = sendCheck.refusal();
        refusal.ifPresent(reason -> refuse(reason, goOn));
        return refusal.isPresent();
    }

    Optional<String> refusalAfterConnect(BackendServer server) {
        return sendCheck.refusalAfterConnect(server, deadlines.deadline() - now());
    }

    private void refuse(SendRefusal refusal, Runnable goOn) {
        switch (refusal) {
            case SendRefusal.CallerDisconnected disconnected -> callerDisconnected();
            case SendRefusal.ServerListOutdated outdated ->
                context.serverListWait().await(goOn, () -> retryRestOrConclude(FinalAnswer.MIN_RETRY_DELAY));
            case SendRefusal.Stopping stopping -> conclude(attempts.stepWithoutRetry(), stop.refused(stopping));
            case SendRefusal.Quarantined quarantined -> conclude(attempts.stepWithoutRetry(), quarantined.retryDelay());
            case SendRefusal.ShareExceeded exceeded -> conclude(attempts.stepWithoutRetry(), exceeded.retryDelay());
            case SendRefusal.KeyRemoved removed
            when stream.begun() || attempts.mayHaveRun() ->
                conclude(NextStep.REPORT_UNKNOWN, FinalAnswer.MIN_RETRY_DELAY);
            case SendRefusal.KeyRemoved removed -> {
                finish(RequestOutcome.UNAUTHORISED);
                finalAnswer.sendUnauthorised(removed.reason());
            }
        }
    }

    /** Records an attempt before it is sent, since sending may fail at once and lead to the next attempt. */
    void attemptStarting(AnswerAttempt attempt) {
        attempts.attemptStarted();
        answerAttempt = attempt;
    }

    FatalRequestCheck fatalCheck() {
        return fatalCheck;
    }

    private void stalled(WatchedAttempt watched) {
        if (!finished && currentAttempt.isOpen(watched.work())) {
            replacement.replaceStalled(watched, placements.create(false, now()));
        }
    }

    /** Cancels an attempt whose answer can no longer be used. */
    void abandon(AnswerAttempt answer, String reason) {
        answer.release();
        currentAttempt.cancel();
        attemptEnded(answer.work(), new AttemptEnd.Lost(), reason);
    }

    /** Records the load that a server reports with an answer. */
    void loadReported(AssignedWork work, AnswerMetadata metadata) {
        metadata.load().ifPresent(load -> context.state().placement().loadReported(work, load, now()));
    }

    void prefilled(Placement.Disaggregated placement, AssignedWork work, CacheSource source) {
        context.state().placement().answerStarted(work, now());
        currentAttempt.end(work);
        if (finished) {
            return;
        }
        recorder.prefillCompleted(placement.prefill(), now());
        PrefilledPrompt prefilled = new PrefilledPrompt(placement.prefill(), source);
        pendingHandoff.begin(prefilled);
        goOnIfPermitted(() -> handOff(prefilled));
    }

    private void handOff(PrefilledPrompt prefilled) {
        if (finished || refusedBeforeSend(() -> handOff(prefilled))) {
            return;
        }
        PlacementPolicy placement = context.state().placement();
        PlacementRequest placementRequest = placements.create(false, now());
        Optional<BackendServer> decodeEngine =
                placement.chooseDecodeEngine(placementRequest, prefilled.engine(), now());
        if (decodeEngine.isEmpty()) {
            trace.setReason("no engine is available to generate the answer");
            retryRestOrConclude(placement.retryDelay(placementRequest, now()));
            return;
        }
        sender.send(decodeEngine.get(), WorkKind.HANDOFF, 0, Optional.of(prefilled.source()), Optional.empty());
    }

    /** Handles a failed prefill, which is optional: without it, a single engine does both prefill and decode. */
    void prefillFailed(Placement.Disaggregated placement, AssignedWork work, AttemptEnd end, String reason) {
        context.state().attemptEnded(work, end);
        currentAttempt.end(work);
        if (finished) {
            return;
        }
        recorder.prefillFailed(placement.prefill(), end, reason);
        goOnIfPermitted(this::assignServer);
    }

    void answerBegan(AssignedWork work) {
        context.state().placement().answerStarted(work, now());
        pendingHandoff.completed();
        share.answerBegan(work);
        stallDetector.answerBegan(answerAttempt);
        if (!stream.begun()) {
            queue.answerBegan();
            context.metrics().answerBegan(service, (now() - request.incoming().receivedAtNanos()) / 1e9);
        }
    }

    void eventReceived(HttpResponse head, ByteBuf event) {
        if (!stream.begun()) {
            streamStart.firstEventReceived(answerAttempt.softwareVersion());
        }
        queue.leave();
        stream.forward(head, event, answerAttempt.softwareVersion());
        answerProgress.eventReceived(answerAttempt.work(), answerAttempt.softwareVersion(), deadlines.allowed(), now());
        if (!writer.writable()) {
            currentAttempt.setReading(false);
        }
        relocation
                .moveFrom(answerAttempt.work())
                .ifPresent(move -> replacement.move(answerAttempt, move, placements.create(false, now())));
    }

    void streamComplete(AssignedWork work, boolean begun) {
        currentAttempt.end(work);
        if (!stream.begun()) {
            handleAttemptEnd(new AttemptEnd.Lost(), begun ? "the stream had no event" : "the stream was empty");
            return;
        }
        answerProgress.completed();
        finish(RequestOutcome.ANSWERED);
        writer.endAnswer();
    }

    void answerComplete(AssignedWork work, HttpResponse head, ByteBuf body) {
        currentAttempt.end(work);
        if (stream.begun()) {
            // The server that was to continue the stream sent another answer, which would corrupt the caller's stream.
            body.release();
            trace.setReason("the resume request got status " + head.status().code());
            conclude(NextStep.REPORT_UNKNOWN, FinalAnswer.MIN_RETRY_DELAY);
            return;
        }
        finish(RequestOutcome.ANSWERED);
        writer.sendAnswer(OutgoingMessage.answer(head, body));
    }

    /** Handles an error answer: retries at another server if that is allowed, otherwise forwards the error answer. */
    void failureReceived(AssignedWork work, HttpResponse head, ByteBuf body, AnswerMetadata metadata) {
        AttemptEnd end = new AttemptEnd.Failed();
        context.state().attemptEnded(work, end);
        currentAttempt.end(work);
        NextStep next = recorder.attemptFailed(head.status().code());
        if (next == NextStep.REPEAT && !stream.begun() && deadlines.deadline() > now() && permit.tryAcquire()) {
            body.release();
            assignServer();
            return;
        }
        if (stream.begun() || !metadata.signed() || AnswerAttempt.impliesNoRun(head.status())) {
            body.release();
            conclude(NextStep.REPORT_UNKNOWN, FinalAnswer.MIN_RETRY_DELAY);
            return;
        }
        finish(RequestOutcome.FAILURE_PASSED_ON);
        writer.sendAnswer(OutgoingMessage.answer(head, body));
    }

    void attemptEnded(AssignedWork work, AttemptEnd end, String reason) {
        triedServers.attemptEnded(work, end);
        context.state().attemptEnded(work, end);
        currentAttempt.end(work);
        handleAttemptEnd(end, reason);
    }

    private void handleAttemptEnd(AttemptEnd end, String reason) {
        if (finished) {
            return;
        }
        NextStep next = recorder.attemptEnded(end, reason);
        if (next != NextStep.REPEAT || deadlines.deadline() <= now() || !fatalCheck.mayRetry()) {
            conclude(next == NextStep.REPEAT ? attempts.stepWithoutRetry() : next, FinalAnswer.MIN_RETRY_DELAY);
        } else {
            goOnIfPermitted(() -> retryElsewhere(end));
        }
    }

    private void goOnIfPermitted(Runnable attempt) {
        if (permit.tryAcquire()) {
            attempt.run();
        } else {
            retryRestOrConclude(FinalAnswer.MIN_RETRY_DELAY);
        }
    }

    private void retryElsewhere(AttemptEnd end) {
        if (end.promptCacheUntouched() && pendingHandoff.prompt().isPresent()) {
            handOff(pendingHandoff.prompt().get());
            return;
        }
        if (end instanceof AttemptEnd.NotExecuted) {
            pendingHandoff.prompt().ifPresent(prefilled -> triedServers.add(prefilled.engine()));
        }
        pendingHandoff.release();
        assignServer();
    }

    private void endBecause(String reason) {
        trace.setReason(reason + "; " + trace.reason());
        conclude(attempts.stepWithoutRetry(), FinalAnswer.MIN_RETRY_DELAY);
    }

    /** Tries again after a pause if this entry has itself ended the attempt at a stream; otherwise ends the request. */
    private void retryRestOrConclude(Duration retryDelay) {
        if (!finished && stream.begun() && recorder.mustContinueStream()) {
            timers.retryLater(this::retryRest);
            return;
        }
        conclude(attempts.stepWithoutRetry(), retryDelay);
    }

    private void retryRest() {
        pendingHandoff.release();
        goOnIfPermitted(this::assignServer);
    }

    private void conclude(NextStep step, Duration retryDelay) {
        if (finished) {
            return;
        }
        if (stream.begun()) {
            finish(RequestOutcome.CUT);
            writer.abortAnswer();
            return;
        }
        if (step == NextStep.REFUSE) {
            finish(RequestOutcome.NOT_RUN);
            finalAnswer.sendNotRun(retryDelay);
            return;
        }
        finish(RequestOutcome.UNKNOWN);
        finalAnswer.sendUnknown();
    }

    /** Releases all resources of the request and logs its outcome; the answer, if any, is to be sent afterwards. */
    private void finish(RequestOutcome outcome) {
        finished = true;
        fatalCheck.ended(outcome);
        context.waitQueues().remove(this);
        timers.cancel();
        stallDetector.cancel();
        currentAttempt.abandon();
        if (answerAttempt != null) {
            answerAttempt.release();
        }
        pendingHandoff.release();
        request.incoming().body().release();
        recorder.requestEnded(outcome);
    }

    long now() {
        return context.state().time().monotonicNanos();
    }
}
