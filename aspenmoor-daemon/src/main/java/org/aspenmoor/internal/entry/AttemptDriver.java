package org.aspenmoor.internal.entry;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.Outcome;
import org.aspenmoor.RefusalReason;
import org.aspenmoor.internal.settings.CallerLimits;

/** Brings requests to backend servers: first attempts, retries, and streams that go on elsewhere. */
final class AttemptDriver {
    private static final int MOST_ATTEMPTS = 4;
    private static final int MOST_ATTEMPTS_OF_BEGUN_STREAM = 12;
    private static final Duration NO_BACKEND_COME_BACK = Duration.ofSeconds(1);

    private final RequestBook book;
    private final AgentDirectory directory;
    private final BackendChooser chooser;
    private final WaitingRoom waitingRoom;
    private final CallerLimits limits;
    private final EntryMetrics metrics;

    AttemptDriver(
            RequestBook book,
            AgentDirectory directory,
            BackendChooser chooser,
            WaitingRoom waitingRoom,
            CallerLimits limits,
            EntryMetrics metrics) {
        this.book = book;
        this.directory = directory;
        this.chooser = chooser;
        this.waitingRoom = waitingRoom;
        this.limits = limits;
        this.metrics = metrics;
    }

    /** Starts a request, lets it wait, or refuses it at once. */
    void admit(ActiveRequest request, long now) {
        if (dispatchIfPossible(request, now)) {
            return;
        }
        boolean anyTakesWork = directory
                .ofService(request.document().team(), request.document().service())
                .stream()
                .anyMatch(AgentPeer::takesWork);
        if (!anyTakesWork && !request.hasBegun()) {
            Outcome.NotRun refusal = new Outcome.NotRun(
                    RefusalReason.NO_BACKEND, NO_BACKEND_COME_BACK, "No backend server of the service can be reached.");
            giveUp(request, refusal, now);
            return;
        }
        wait(request, now);
    }

    /** Gives waiting requests to backend servers that have room again. */
    void startWaiting(long now) {
        for (ActiveRequest request : waitingRoom.inOrder()) {
            if (now > request.deadlineAt() && !request.hasBegun()) {
                waitingRoom.leave(request);
                giveUp(request, tooLate(), now);
            } else if (dispatchIfPossible(request, now)) {
                waitingRoom.leave(request);
                waitingRoom.started(now);
            }
        }
    }

    /** Takes that an agent stated it never started the attempt. */
    void neverStarted(ActiveRequest request, String detail, long now) {
        request.attemptOver(false);
        book.tell(request, now, "the agent did not start it: " + detail);
        retry(request, detail, now);
    }

    /** Takes that an attempt was lost after it was sent. */
    void lost(ActiveRequest request, String detail, long now) {
        request.attemptOver(true);
        book.tell(request, now, "attempt " + request.assembly().attempt() + " lost: " + detail);
        if (!request.kind().idempotent()) {
            book.unknown(request, "The request was sent and its answer was lost: " + detail + ".", now);
            return;
        }
        retry(request, detail, now);
    }

    /** Takes that the caller no longer wants the answer. */
    void cancel(ActiveRequest request, long now) {
        waitingRoom.leave(request);
        request.peer().flatMap(AgentPeer::link).ifPresent(link -> link.send(DispatchFrames.cancel(request)));
        request.attemptOver(true);
        book.cancelled(request, now);
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
        metrics.retried(request.hasBegun());
        admit(request, now);
    }

    private void wait(ActiveRequest request, long now) {
        Optional<ActiveRequest> displaced = waitingRoom.enter(request);
        book.tell(request, now, "waits for a backend server with room, " + waitingRoom.size() + " wait");
        displaced.ifPresent(loser -> giveUp(
                loser,
                new Outcome.NotRun(
                        RefusalReason.OVERLOADED,
                        waitingRoom.timeToEmpty(),
                        "The queue is full and requests of greater weight go first."),
                now));
    }

    // "Not run" must be true: once an attempt may have run, only "unknown" is left.
    private void giveUp(ActiveRequest request, Outcome.NotRun refusal, long now) {
        if (request.mayHaveRun()) {
            book.unknown(request, refusal.detail(), now);
        } else {
            book.refused(request, refusal, now);
        }
    }

    private Outcome.NotRun tooLate() {
        return new Outcome.NotRun(
                RefusalReason.CANNOT_FINISH_IN_TIME,
                waitingRoom.timeToEmpty(),
                "Its turn did not come before its deadline.");
    }

    private boolean dispatchIfPossible(ActiveRequest request, long now) {
        List<AgentPeer> able = directory
                .ofService(request.document().team(), request.document().service())
                .stream()
                .filter(AgentPeer::takesWork)
                .filter(AgentPeer::hasCredit)
                .toList();
        List<AgentPeer> untried = able.stream()
                .filter(peer -> !request.tried().contains(peer.backend()))
                .toList();
        Optional<AgentPeer> chosen = chooser.choose(request, untried.isEmpty() ? able : untried, now);
        chosen.ifPresent(peer -> dispatch(request, peer, now));
        return chosen.isPresent();
    }

    private void dispatch(ActiveRequest request, AgentPeer peer, long now) {
        int attempt = request.dispatchedTo(peer, now);
        book.tell(request, now, "attempt " + attempt + " sent to " + peer.backend());
        peer.link().ifPresent(link -> link.send(DispatchFrames.dispatch(request, attempt, limits.chunkCredit(), now)));
    }
}
