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

/** Brings requests to backend servers: first attempts, retries, and streams that go on elsewhere. */
final class AttemptDriver {
    private static final int MOST_ATTEMPTS = 4;
    private static final int MOST_ATTEMPTS_OF_BEGUN_STREAM = 12;
    private static final Duration NO_BACKEND_COME_BACK = Duration.ofSeconds(1);
    private static final double RETRIES_EARNED_BY_REQUEST = 0.1;
    private static final double MOST_RETRIES_SAVED = 50;

    private final RequestTable requestTable;
    private final AgentDirectory directory;
    private final ServiceQueues serviceQueues;
    private final WaitingRequests waitingRequests;
    private final CallerLimits limits;
    private final EntryMetrics metrics;
    private final Claims claims;
    private final Map<String, RetryBudget> retryBudgets = new HashMap<>();

    AttemptDriver(
            RequestTable requestTable,
            AgentDirectory directory,
            ServiceQueues serviceQueues,
            WaitingRequests waitingRequests,
            CallerLimits limits,
            EntryMetrics metrics,
            Claims claims) {
        this.requestTable = requestTable;
        this.directory = directory;
        this.serviceQueues = serviceQueues;
        this.waitingRequests = waitingRequests;
        this.limits = limits;
        this.metrics = metrics;
        this.claims = claims;
    }

    /** Starts a new request, lets it wait, or refuses it at once. */
    void admit(ActiveRequest request, long now) {
        budgetOf(request).firstAttempt();
        if (request.isGeneration() && anyTakesWork(request)) {
            serviceQueues.of(request.document()).offer(request, now).forEach(refusal -> refuse(refusal, now));
            pump(serviceQueues.of(request.document()), now);
            return;
        }
        startOrWait(request, now);
    }

    /** Gives waiting requests to backend servers that have room again. */
    void startWaiting(long now) {
        for (ActiveRequest request : waitingRequests.inOrder()) {
            if (now > request.deadlineAt() && !request.hasBegun()) {
                waitingRequests.leave(request);
                giveUp(request, tooLate(), now);
            } else if (dispatchIfPossible(request, now)) {
                waitingRequests.leave(request);
                waitingRequests.started(now);
            }
        }
        serviceQueues.all().forEach(serviceQueue -> pump(serviceQueue, now));
    }

    /** Takes that an agent stated it never started the attempt. */
    void neverStarted(ActiveRequest request, String detail, long now) {
        endAttempt(request, false, now);
        requestTable.trace(request, now, "the agent did not start it: " + detail);
        retry(request, detail, now);
    }

    /** Takes that an attempt was lost after it was sent. */
    void lost(ActiveRequest request, String detail, long now) {
        request.peer().ifPresent(peer -> peer.breaker().failed());
        endAttempt(request, true, now);
        requestTable.trace(request, now, "attempt " + request.assembly().attempt() + " lost: " + detail);
        if (!request.kind().idempotent()) {
            requestTable.unknown(request, "The request was sent and its answer was lost: " + detail + ".", now);
            return;
        }
        retry(request, detail, now);
    }

    /** Takes that the caller no longer wants the answer. */
    void cancel(ActiveRequest request, long now) {
        // A claimed call goes on: the caller may ask again under its key and is then told what came of it.
        if (request.ticket().isPresent() && request.peer().isPresent()) {
            return;
        }
        waitingRequests.leave(request);
        serviceQueues.of(request.document()).cancel(request);
        request.peer().flatMap(AgentPeer::link).ifPresent(link -> link.send(DispatchFrames.cancel(request)));
        boolean mayHaveRun = request.mayHaveRun() || request.peer().isPresent();
        endAttempt(request, mayHaveRun, now);
        if (!mayHaveRun) {
            request.ticket().ifPresent(claims::neverStarted);
        }
        requestTable.cancelled(request, now);
    }

    /** Ends the current attempt, whatever came of it. */
    void endAttempt(ActiveRequest request, boolean mayHaveRun, long now) {
        if (request.isGeneration()) {
            serviceQueues.of(request.document()).router().ended(request, now);
        }
        request.attemptOver(mayHaveRun);
    }

    /** Learns from a whole generation. */
    void answered(ActiveRequest request) {
        request.peer().ifPresent(peer -> peer.breaker().succeeded());
        if (request.isGeneration()) {
            serviceQueues
                    .of(request.document())
                    .answered(
                            request, request.promptTokens(), request.assembly().deliveredTokens());
        }
    }

    private void pump(ServiceQueue serviceQueue, long now) {
        Set<String> closedBreakers = new HashSet<>();
        boolean resting = false;
        while (!resting) {
            switch (serviceQueue.next(backend -> isOpen(backend, closedBreakers), now)) {
                case QueueStep.Send send -> send(serviceQueue, send.request(), send.decision(), closedBreakers, now);
                case QueueStep.Refuse refused -> refuse(refused.refusal(), now);
                case QueueStep.Rest ignored -> resting = true;
            }
        }
    }

    private void send(
            ServiceQueue serviceQueue,
            ActiveRequest request,
            RoutingDecision decision,
            Set<String> closedBreakers,
            long now) {
        Optional<AgentPeer> peer = directory.find(decision.engine()).filter(AttemptDriver::passesBreaker);
        if (peer.isEmpty()) {
            closedBreakers.add(decision.engine());
            return;
        }
        serviceQueue.sent(request, decision, now);
        requestTable.trace(request, now, decision.reason());
        dispatch(request, peer.get(), now);
    }

    private void startOrWait(ActiveRequest request, long now) {
        if (dispatchIfPossible(request, now)) {
            return;
        }
        if (!anyTakesWork(request) && !request.hasBegun()) {
            giveUp(
                    request,
                    new Outcome.NotRun(
                            RefusalReason.NO_BACKEND,
                            NO_BACKEND_COME_BACK,
                            "No backend server of the service can be reached."),
                    now);
            return;
        }
        wait(request, now);
    }

    private void retry(ActiveRequest request, String detail, long now) {
        int most = request.hasBegun() ? MOST_ATTEMPTS_OF_BEGUN_STREAM : MOST_ATTEMPTS;
        if (request.assembly().attempt() >= most) {
            giveUp(
                    request,
                    new Outcome.NotRun(
                            RefusalReason.NO_BACKEND, NO_BACKEND_COME_BACK, "All attempts failed: " + detail),
                    now);
            return;
        }
        // A stream that has begun is always finished; only work that has given nothing yet competes for retries.
        if (!request.hasBegun() && budgetOf(request).retry() instanceof RetryDecision.Spent spent) {
            giveUp(
                    request,
                    new Outcome.NotRun(
                            RefusalReason.RETRY_BUDGET_SPENT,
                            spent.comeBackAfter(),
                            "The attempt failed and the team's budget for retries is spent: " + detail),
                    now);
            return;
        }
        metrics.retried(request.hasBegun());
        startOrWait(request, now);
    }

    private void wait(ActiveRequest request, long now) {
        Optional<ActiveRequest> displaced = waitingRequests.enter(request);
        requestTable.trace(request, now, "waits for a backend server with room, " + waitingRequests.size() + " wait");
        displaced.ifPresent(loser -> giveUp(
                loser,
                new Outcome.NotRun(
                        RefusalReason.OVERLOADED,
                        waitingRequests.timeToEmpty(),
                        "The queue is full and requests of greater weight go first."),
                now));
    }

    private void refuse(Refusal refusal, long now) {
        giveUp(refusal.request(), refusal.outcome(), now);
    }

    // "Not run" must be true: once an attempt may have run, only "unknown" is left.
    private void giveUp(ActiveRequest request, Outcome.NotRun refusal, long now) {
        if (request.mayHaveRun()) {
            requestTable.unknown(request, refusal.detail(), now);
            return;
        }
        request.ticket().ifPresent(claims::neverStarted);
        requestTable.refused(request, refusal, now);
    }

    private Outcome.NotRun tooLate() {
        return new Outcome.NotRun(
                RefusalReason.CANNOT_FINISH_IN_TIME,
                waitingRequests.timeToEmpty(),
                "Its turn did not come before its deadline.");
    }

    private boolean dispatchIfPossible(ActiveRequest request, long now) {
        Set<String> passedOver = new HashSet<>();
        Optional<AgentPeer> chosen = choose(request, passedOver, now);
        while (chosen.isPresent() && !passesBreaker(chosen.get())) {
            passedOver.add(chosen.get().backend());
            chosen = choose(request, passedOver, now);
        }
        chosen.ifPresent(peer -> dispatch(request, peer, now));
        return chosen.isPresent();
    }

    private Optional<AgentPeer> choose(ActiveRequest request, Set<String> passedOver, long now) {
        if (!request.isGeneration()) {
            return chooseLeastBusy(request, passedOver);
        }
        ServiceQueue serviceQueue = serviceQueues.of(request.document());
        Set<String> alsoTried = new HashSet<>(passedOver);
        alsoTried.addAll(request.tried());
        Optional<RoutingDecision> decision = serviceQueue
                .decideAgain(request, backend -> isOpen(backend, alsoTried), now)
                .or(() -> serviceQueue.decideAgain(request, backend -> isOpen(backend, passedOver), now));
        decision.ifPresent(
                decided -> serviceQueue.router().sent(request, serviceQueue.estimate(request), decided, now));
        return decision.flatMap(decided -> directory.find(decided.engine()));
    }

    private Optional<AgentPeer> chooseLeastBusy(ActiveRequest request, Set<String> passedOver) {
        List<AgentPeer> open = directory
                .ofService(request.document().team(), request.document().service())
                .stream()
                .filter(peer -> isOpen(peer.backend(), passedOver))
                .toList();
        Comparator<AgentPeer> leastBusy = Comparator.<AgentPeer, Boolean>comparing(
                        peer -> request.tried().contains(peer.backend()))
                .thenComparingInt(AgentPeer::outstanding)
                .thenComparingInt(peer -> (peer.backend() + request.id()).hashCode());
        return open.stream().min(leastBusy);
    }

    private boolean isOpen(String backend, Set<String> passedOver) {
        if (passedOver.contains(backend)) {
            return false;
        }
        return directory
                .find(backend)
                .filter(directory::takesWork)
                .filter(AgentPeer::hasCredit)
                .isPresent();
    }

    private boolean anyTakesWork(ActiveRequest request) {
        return directory.ofService(request.document().team(), request.document().service()).stream()
                .anyMatch(directory::takesWork);
    }

    private static boolean passesBreaker(AgentPeer peer) {
        return !(peer.breaker().ask() instanceof BreakerDecision.Open);
    }

    private void dispatch(ActiveRequest request, AgentPeer peer, long now) {
        int attempt = request.dispatchedTo(peer, now);
        requestTable.trace(request, now, "attempt " + attempt + " sent to " + peer.backend());
        peer.link().ifPresent(link -> link.send(DispatchFrames.dispatch(request, attempt, limits.chunkCredit(), now)));
    }

    private RetryBudget budgetOf(ActiveRequest request) {
        return retryBudgets.computeIfAbsent(
                request.document().team(),
                team -> new RetryBudget(RETRIES_EARNED_BY_REQUEST, MOST_RETRIES_SAVED, NO_BACKEND_COME_BACK));
    }
}
