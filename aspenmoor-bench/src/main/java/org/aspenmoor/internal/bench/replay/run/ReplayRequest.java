package org.aspenmoor.internal.bench.replay.run;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.aspenmoor.internal.bench.replay.engine.EngineJob;
import org.aspenmoor.internal.bench.replay.engine.SimulatedEngine;
import org.aspenmoor.internal.serving.AnswerInProgress;
import org.aspenmoor.internal.serving.AnswerMoves;
import org.aspenmoor.internal.serving.AssignedWork;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.Placement;
import org.aspenmoor.internal.serving.PlacementRequest;
import org.aspenmoor.internal.serving.VersionRequirement;
import org.aspenmoor.internal.serving.WaitQueue;
import org.aspenmoor.internal.serving.WorkKind;

/** One attempt of a caller at an entry, dispatched and retried by the same rules as in a real entry. */
final class ReplayRequest {
    private static final double NANOSECONDS = 1e9;
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(200);
    private static final int MAX_FAILED_PREFILLS = 2;
    private static final int MAX_ATTEMPTS = 4;

    /** Maximum number of engines that may run a request, counting the one that an answer is resumed on. */
    private static final int MAX_RUNS = 2;

    private final ReplayEntry entry;
    private final CallerRequest request;
    private final long arrivedAt;
    private final Set<String> excludedServers = new HashSet<>();
    private Optional<EntryAttempt> currentAttempt = Optional.empty();
    private int failedPrefills;
    private int attempts;
    private int receivedEvents;
    private long dispatchedAt;
    private long firstEventAt;
    private boolean ended;

    ReplayRequest(ReplayEntry entry, CallerRequest request) {
        this.entry = entry;
        this.request = request;
        this.arrivedAt = entry.loop().now();
    }

    void start() {
        entry.placementPolicy()
                .answerRequested(
                        ReplayRun.SERVICE, request.prompt(), request.kind().deadline(), now());
        entry.loop().after((request.deadlineAt() - now()) / NANOSECONDS, this::deadlineReached);
        dispatch(entry.queue().size() > 0);
    }

    void dispatchFromQueue() {
        dispatch(false);
    }

    void refuseFromQueue(Duration retryAfter) {
        refuse(retryAfter);
    }

    private PlacementRequest placementRequest(boolean othersQueued) {
        boolean mayDisaggregate = failedPrefills < MAX_FAILED_PREFILLS && !entry.isDisabled(Mechanism.STAGING);
        return new PlacementRequest(
                ReplayRun.SERVICE,
                Optional.of(request.prompt()),
                Duration.ofNanos(request.deadlineAt() - now()),
                request.kind().objective(),
                receivedEvents > 0,
                excludedServers,
                mayDisaggregate,
                !entry.isDisabled(Mechanism.WAITING),
                othersQueued,
                new VersionRequirement.Any());
    }

    private void dispatch(boolean othersQueued) {
        switch (entry.placementPolicy().choose(placementRequest(othersQueued), now())) {
            case Placement.SingleServer single -> {
                recordDispatch();
                int priority = request.kind().priority();
                send(
                        single.server(),
                        WorkKind.WHOLE,
                        single.promptSeconds(),
                        priority,
                        entry.engine(single.cacheHolder()));
            }
            case Placement.Disaggregated disaggregated -> {
                recordDispatch();
                int priority = disaggregated.promptPriority(request.kind().priority());
                send(
                        disaggregated.prefill(),
                        WorkKind.PROMPT_ONLY,
                        disaggregated.promptSeconds(),
                        priority,
                        entry.engine(disaggregated.cacheHolder()));
            }
            case Placement.Queued queued ->
                entry.enqueue(new WaitQueue.QueuedRequest<>(
                        this,
                        queued.promptSeconds(),
                        arrivedAt,
                        request.requestedAt() + request.kind().objective().toNanos(),
                        request.deadlineAt()));
            case Placement.Refused refused -> refuse(refused.retryAfter());
        }
    }

    private void recordDispatch() {
        dispatchedAt = now();
        entry.queue()
                .dispatched(request.requestedAt() + request.kind().objective().toNanos(), dispatchedAt);
    }

    private void send(
            BackendServer server,
            WorkKind workKind,
            double promptSeconds,
            int priority,
            Optional<SimulatedEngine> cacheHolder) {
        if (workKind != WorkKind.PROMPT_ONLY) {
            attempts++;
            excludedServers.add(server.id());
        }
        AssignedWork work = entry.placementPolicy()
                .attemptStarted(server, workKind, promptSeconds, request.kind().objective(), now());
        entry.placementPolicy().promptAssignments().assigned(server, request.prompt(), now());
        EntryAttempt attempt = new EntryAttempt(this, entry, server, workKind, work);
        EngineJob job = new EngineJob(
                request.prompt(),
                workKind,
                request.events() - receivedEvents,
                priority,
                cacheHolder,
                entry.nextJobSequence(),
                attempt);
        attempt.assignJob(job);
        currentAttempt = Optional.of(attempt);
        entry.send(entry.engine(server), job);
    }

    void promptPrefilled(BackendServer prefillEngine) {
        Optional<BackendServer> decodeEngine =
                entry.placementPolicy().chooseDecodeEngine(placementRequest(false), prefillEngine, now());
        if (decodeEngine.isEmpty()) {
            refuse(MIN_RETRY_AFTER);
            return;
        }
        send(decodeEngine.get(), WorkKind.HANDOFF, 0, request.kind().priority(), Optional.empty());
        entry.dispatchQueued();
    }

    void eventReceived(AssignedWork work) {
        if (receivedEvents == 0) {
            entry.queue().answerStarted((now() - dispatchedAt) / NANOSECONDS);
        }
        receivedEvents++;
        entry.placementPolicy()
                .answerStreaming(
                        ReplayRun.SERVICE, streamedTime(), Duration.ofNanos(request.deadlineAt() - arrivedAt), now());
        entry.callerListener().eventReceived(request);
        AnswerMoves moves = entry.placementPolicy().answerMoves();
        double secondsLeft = (request.deadlineAt() - now()) / NANOSECONDS;
        AnswerInProgress answer = new AnswerInProgress(request.prompt(), receivedEvents, secondsLeft);
        boolean rescue = !entry.isDisabled(Mechanism.RESCUES) && moves.shouldBeRescued(work, answer, now());
        if (rescue || moves.shouldLeave(work, now())) {
            resumeOnOtherServer();
        }
    }

    private void resumeOnOtherServer() {
        if (receivedEvents < request.events() && request.kind().resumable() && attempts < MAX_RUNS) {
            currentAttempt.ifPresent(EntryAttempt::cancel);
            dispatch(false);
        }
    }

    private Duration streamedTime() {
        if (firstEventAt == 0) {
            firstEventAt = now();
        }
        return Duration.ofNanos(now() - firstEventAt);
    }

    void answerCompleted() {
        ended = true;
        entry.placementPolicy().answerCompleted(ReplayRun.SERVICE, request.prompt(), receivedEvents);
        entry.callerListener().completed(request);
        entry.dispatchQueued();
    }

    void rejected(BackendServer server, WorkKind workKind) {
        if (workKind == WorkKind.PROMPT_ONLY) {
            failedPrefills++;
            excludedServers.add(server.id());
        }
        retryOrEnd(false);
    }

    void lost(WorkKind workKind) {
        if (workKind == WorkKind.PROMPT_ONLY) {
            failedPrefills++;
            retryOrEnd(false);
            return;
        }
        retryOrEnd(true);
    }

    private void retryOrEnd(boolean mayHaveRun) {
        boolean retryable = !mayHaveRun || request.kind().resumable();
        if (retryable && attempts < MAX_ATTEMPTS) {
            dispatch(false);
        } else if (mayHaveRun || receivedEvents > 0) {
            fail();
        } else {
            refuse(MIN_RETRY_AFTER);
        }
    }

    private void deadlineReached() {
        if (ended) {
            return;
        }
        currentAttempt.ifPresent(EntryAttempt::cancel);
        if (attempts > 0) {
            fail();
        } else {
            refuse(MIN_RETRY_AFTER);
        }
    }

    private void refuse(Duration retryAfter) {
        if (receivedEvents > 0 || ended) {
            fail();
            return;
        }
        ended = true;
        entry.queue().remove(this);
        Duration boundedRetryAfter = retryAfter.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : retryAfter;
        entry.callerListener().refused(request, entry.withJitter(boundedRetryAfter));
    }

    private void fail() {
        if (!ended) {
            ended = true;
            entry.callerListener().failed(request);
        }
    }

    boolean ended() {
        return ended;
    }

    private long now() {
        return entry.loop().now();
    }
}
