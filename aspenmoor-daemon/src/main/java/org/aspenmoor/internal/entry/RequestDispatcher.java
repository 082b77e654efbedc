package org.aspenmoor.internal.entry;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.aspenmoor.Outcome;
import org.aspenmoor.RefusalReason;
import org.aspenmoor.internal.retry.BreakerDecision;
import org.aspenmoor.internal.retry.RetryBudget;
import org.aspenmoor.internal.retry.RetryDecision;
import org.aspenmoor.internal.routing.RoutingDecision;
import org.aspenmoor.internal.settings.CallerLimits;

/** Dispatches requests to backend servers: first attempts, retries and resumed streams. */
final class RequestDispatcher {
    private static final int MAX_ATTEMPTS = 4;
    private static final int MAX_ATTEMPTS_OF_STARTED_STREAM = 12;
    private static final Duration NO_BACKEND_RETRY_AFTER = Duration.ofSeconds(1);
    private static final double RETRIES_PER_REQUEST = 0.1;
    private static final double MAX_SAVED_RETRIES = 50;

    private final RequestTable requestTable;
    private final AgentDirectory directory;
    private final ServiceQueues serviceQueues;
    private final WaitingRequests waitingRequests;
    private final CallerLimits limits;
    private final EntryMetrics metrics;
    private final ClaimClient claimClient;
    private final Map<String, RetryBudget> retryBudgets = new HashMap<>();

    RequestDispatcher(
            RequestTable requestTable,
            AgentDirectory directory,
            ServiceQueues serviceQueues,
            WaitingRequests waitingRequests,
            CallerLimits limits,
            EntryMetrics metrics,
            ClaimClient claimClient) {
        this.requestTable = requestTable;
        this.directory = directory;
        this.serviceQueues = serviceQueues;
        this.waitingRequests = waitingRequests;
        this.limits = limits;
        this.metrics = metrics;
        this.claimClient = claimClient;
    }

    /** Dispatches a new request, queues it, or refuses it at once. */
    void admit(ActiveRequest request, long now) {
        retryBudgetOf(request).recordFirstAttempt();
        if (request.isGeneration() && anyAcceptsWork(request)) {
            serviceQueues.of(request.document()).offer(request, now).forEach(refusal -> refuse(refusal, now));
            dispatchQueued(serviceQueues.of(request.document()), now);
            return;
        }
        dispatchOrWait(request, now);
    }

    /** Dispatches waiting requests to backend servers that have capacity again. */
    void dispatchWaiting(long now) {
        for (ActiveRequest request : waitingRequests.inOrder()) {
            if (now > request.deadlineAt() && !request.hasDeliveredTokens()) {
                waitingRequests.remove(request);
                giveUp(request, deadlineRefusal(), now);
            } else if (dispatchIfPossible(request, now)) {
                waitingRequests.remove(request);
                waitingRequests.recordStart(now);
            }
        }
        serviceQueues.all().forEach(serviceQueue -> dispatchQueued(serviceQueue, now));
    }

    /** Handles a report by an agent that it did not start the attempt. */
    void attemptNotStarted(ActiveRequest request, String detail, long now) {
        endAttempt(request, false, now);
        requestTable.trace(request, now, "the agent did not start the attempt: " + detail);
        retry(request, detail, now);
    }

    /** Handles the loss of an attempt after it was sent. */
    void attemptLost(ActiveRequest request, String detail, long now) {
        request.peer().ifPresent(peer -> peer.breaker().recordFailure());
        endAttempt(request, true, now);
        requestTable.trace(request, now, "attempt " + request.assembly().attempt() + " lost: " + detail);
        if (!request.kind().idempotent()) {
            requestTable.endUnknown(request, "The request was sent and its answer was lost: " + detail + ".", now);
            return;
        }
        retry(request, detail, now);
    }

    /** Handles the cancellation of a request by its caller. */
    void cancel(ActiveRequest request, long now) {
        // A claimed call continues: the caller may retry under its key and then receives the recorded outcome.
        if (request.ticket().isPresent() && request.peer().isPresent()) {
            return;
        }
        waitingRequests.remove(request);
        serviceQueues.of(request.document()).cancel(request);
        request.peer().flatMap(AgentPeer::link).ifPresent(link -> link.send(DispatchFrames.cancel(request)));
        boolean mayHaveRun = request.mayHaveRun() || request.peer().isPresent();
        endAttempt(request, mayHaveRun, now);
        if (!mayHaveRun) {
            request.ticket().ifPresent(claimClient::releaseClaim);
        }
        requestTable.endCancelled(request, now);
    }

    /** Ends the current attempt, whatever its outcome. */
    void endAttempt(ActiveRequest request, boolean mayHaveRun, long now) {
        if (request.isGeneration()) {
            serviceQueues.of(request.document()).router().recordEnd(request, now);
        }
        request.endAttempt(mayHaveRun);
    }

    /** Records a complete answer in the circuit breaker and, for a generation, in the length estimates. */
    void recordSuccess(ActiveRequest request) {
        request.peer().ifPresent(peer -> peer.breaker().recordSuccess());
        if (request.isGeneration()) {
            serviceQueues
                    .of(request.document())
                    .recordAnswer(
                            request, request.promptTokens(), request.assembly().deliveredTokens());
        }
    }

    private void dispatchQueued(ServiceQueue serviceQueue, long now) {
        Set<String> refusedByBreaker = new HashSet<>();
        boolean idle = false;
        while (!idle) {
            switch (serviceQueue.next(backend -> isAvailable(backend, refusedByBreaker), now)) {
                case QueueStep.Send send -> send(serviceQueue, send.request(), send.decision(), refusedByBreaker, now);
                case QueueStep.Refuse refused -> refuse(refused.refusal(), now);
                case QueueStep.Idle ignored -> idle = true;
            }
        }
    }

    private void send(
            ServiceQueue serviceQueue,
            ActiveRequest request,
            RoutingDecision decision,
            Set<String> refusedByBreaker,
            long now) {
        Optional<AgentPeer> peer = directory.find(decision.engine()).filter(RequestDispatcher::breakerPermits);
        if (peer.isEmpty()) {
            refusedByBreaker.add(decision.engine());
            return;
        }
        serviceQueue.removeDispatched(request, decision, now);
        requestTable.trace(request, now, decision.reason());
        dispatch(request, peer.get(), now);
    }

    private void dispatchOrWait(ActiveRequest request, long now) {
        if (dispatchIfPossible(request, now)) {
            return;
        }
        if (!anyAcceptsWork(request) && !request.hasDeliveredTokens()) {
            giveUp(
                    request,
                    new Outcome.NotRun(
                            RefusalReason.NO_BACKEND,
                            NO_BACKEND_RETRY_AFTER,
                            "No backend server of the service is available; retry later."),
                    now);
            return;
        }
        waitForBackend(request, now);
    }

    private void retry(ActiveRequest request, String detail, long now) {
        int maxAttempts = request.hasDeliveredTokens() ? MAX_ATTEMPTS_OF_STARTED_STREAM : MAX_ATTEMPTS;
        if (request.assembly().attempt() >= maxAttempts) {
            giveUp(
                    request,
                    new Outcome.NotRun(
                            RefusalReason.NO_BACKEND, NO_BACKEND_RETRY_AFTER, "All attempts failed: " + detail),
                    now);
            return;
        }
        // A partly delivered stream is retried regardless of the retry budget, which limits only requests that have
        // delivered nothing yet.
        if (!request.hasDeliveredTokens()
                && retryBudgetOf(request).tryAcquire() instanceof RetryDecision.Exhausted spent) {
            giveUp(
                    request,
                    new Outcome.NotRun(
                            RefusalReason.RETRY_BUDGET_SPENT,
                            spent.retryAfter(),
                            "The attempt failed and the retry budget of the team is spent: " + detail),
                    now);
            return;
        }
        metrics.recordRetry(request.hasDeliveredTokens());
        dispatchOrWait(request, now);
    }

    private void waitForBackend(ActiveRequest request, long now) {
        Optional<ActiveRequest> displaced = waitingRequests.add(request);
        requestTable.trace(
                request,
                now,
                "waiting for a backend server with capacity, " + waitingRequests.size() + " requests waiting");
        displaced.ifPresent(displacedRequest -> giveUp(
                displacedRequest,
                new Outcome.NotRun(
                        RefusalReason.OVERLOADED,
                        waitingRequests.estimatedTimeToEmpty(),
                        "The queue is full and requests of greater weight take precedence."),
                now));
    }

    private void refuse(Refusal refusal, long now) {
        giveUp(refusal.request(), refusal.outcome(), now);
    }

    // "Not run" must be true: once an attempt may have run, the only permitted outcome is "unknown".
    private void giveUp(ActiveRequest request, Outcome.NotRun refusal, long now) {
        if (request.mayHaveRun()) {
            requestTable.endUnknown(request, refusal.detail(), now);
            return;
        }
        request.ticket().ifPresent(claimClient::releaseClaim);
        requestTable.endRefused(request, refusal, now);
    }

    private Outcome.NotRun deadlineRefusal() {
        return new Outcome.NotRun(
                RefusalReason.CANNOT_FINISH_IN_TIME,
                waitingRequests.estimatedTimeToEmpty(),
                "The request was still queued at its deadline.");
    }

    private boolean dispatchIfPossible(ActiveRequest request, long now) {
        Set<String> excluded = new HashSet<>();
        Optional<AgentPeer> chosen = chooseBackend(request, excluded, now);
        while (chosen.isPresent() && !breakerPermits(chosen.get())) {
            excluded.add(chosen.get().backend());
            chosen = chooseBackend(request, excluded, now);
        }
        chosen.ifPresent(peer -> dispatch(request, peer, now));
        return chosen.isPresent();
    }

    private Optional<AgentPeer> chooseBackend(ActiveRequest request, Set<String> excluded, long now) {
        if (!request.isGeneration()) {
            return chooseLeastLoaded(request, excluded);
        }
        ServiceQueue serviceQueue = serviceQueues.of(request.document());
        Set<String> excludedOrTried = new HashSet<>(excluded);
        excludedOrTried.addAll(request.triedBackends());
        Optional<RoutingDecision> decision = serviceQueue
                .decideForRetry(request, backend -> isAvailable(backend, excludedOrTried), now)
                .or(() -> serviceQueue.decideForRetry(request, backend -> isAvailable(backend, excluded), now));
        decision.ifPresent(
                routing -> serviceQueue.router().recordDispatch(request, serviceQueue.estimate(request), routing, now));
        return decision.flatMap(routing -> directory.find(routing.engine()));
    }

    private Optional<AgentPeer> chooseLeastLoaded(ActiveRequest request, Set<String> excluded) {
        List<AgentPeer> available =
                directory
                        .findByService(
                                request.document().team(), request.document().service())
                        .stream()
                        .filter(peer -> isAvailable(peer.backend(), excluded))
                        .toList();
        Comparator<AgentPeer> leastLoaded = Comparator.<AgentPeer, Boolean>comparing(
                        peer -> request.triedBackends().contains(peer.backend()))
                .thenComparingInt(AgentPeer::outstanding)
                .thenComparingInt(peer -> (peer.backend() + request.id()).hashCode());
        return available.stream().min(leastLoaded);
    }

    private boolean isAvailable(String backend, Set<String> excluded) {
        if (excluded.contains(backend)) {
            return false;
        }
        return directory
                .find(backend)
                .filter(directory::acceptsWork)
                .filter(AgentPeer::hasCredit)
                .isPresent();
    }

    private boolean anyAcceptsWork(ActiveRequest request) {
        return directory
                .findByService(request.document().team(), request.document().service())
                .stream()
                .anyMatch(directory::acceptsWork);
    }

    private static boolean breakerPermits(AgentPeer peer) {
        return !(peer.breaker().tryAcquire() instanceof BreakerDecision.Rejected);
    }

    private void dispatch(ActiveRequest request, AgentPeer peer, long now) {
        int attempt = request.beginAttempt(peer, now);
        requestTable.trace(request, now, "attempt " + attempt + " sent to " + peer.backend());
        peer.link().ifPresent(link -> link.send(DispatchFrames.dispatch(request, attempt, limits.chunkCredit(), now)));
    }

    private RetryBudget retryBudgetOf(ActiveRequest request) {
        return retryBudgets.computeIfAbsent(
                request.document().team(),
                team -> new RetryBudget(RETRIES_PER_REQUEST, MAX_SAVED_RETRIES, NO_BACKEND_RETRY_AFTER));
    }
}
