package org.aspenmoor.internal.claims;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.claim.ClaimCommitter;
import org.aspenmoor.internal.claim.ClaimDecision;
import org.aspenmoor.internal.claim.ClaimRequest;
import org.aspenmoor.internal.claim.ClaimSettings;
import org.aspenmoor.internal.duty.MessageHandler;
import org.aspenmoor.internal.limit.TokenBucket;
import org.aspenmoor.internal.retry.BreakerDecision;
import org.aspenmoor.internal.retry.BreakerSettings;
import org.aspenmoor.internal.retry.CircuitBreaker;
import org.aspenmoor.internal.time.TimeSource;

/**
 * Collects claims while a write to the store is in progress, so that the next write carries all of them.
 *
 * <p>The store accepts several hundred writes a second from the whole system. Claims written one by one would use up
 * this capacity as bookings grow, and claims would wait ever longer. Claims that arrive during a write share the next
 * one.
 *
 * <p>An unresponsive store costs each batch its full time-out, during which calls would wait for a refusal that is
 * certain. After failures the next claims are therefore refused at once for a while, and one is let through as a trial.
 */
public final class ClaimHandler implements MessageHandler<ClaimMessage> {
    /** When claims are refused without a store call: after one failure, for 1 s to 5 s at a time. */
    public static final BreakerSettings STORE_BREAKER =
            new BreakerSettings(1, Duration.ofSeconds(1), Duration.ofSeconds(5), Duration.ofSeconds(10));

    private static final Duration FLUSH_INTERVAL = Duration.ofMillis(20);
    private static final int FLUSH_ROUNDS = 20;
    private static final Duration RECHECK_DELAY = Duration.ofMillis(200);
    private static final int MAX_CHECKS = 4;
    private static final Duration SLOW_COMMIT = Duration.ofMillis(500);
    private static final Duration PAUSE_AFTER_SLOW_COMMIT = Duration.ofSeconds(1);

    private final ClaimCommitter committer;
    private final ClaimSettings settings;
    private final CircuitBreaker storeBreaker;
    private final TimeSource time;
    private final Consumer<ClaimDecision> decisions;
    private final TokenBucket commitRate;
    private long commitsPausedUntil;
    private final Map<RequestId, Integer> checksByRequest = new HashMap<>();
    private final List<Recheck> pendingRechecks = new ArrayList<>();

    public ClaimHandler(
            ClaimCommitter committer,
            ClaimSettings settings,
            CircuitBreaker storeBreaker,
            TimeSource time,
            double commitsPerSecond,
            Consumer<ClaimDecision> decisions) {
        this.committer = committer;
        this.settings = settings;
        this.storeBreaker = storeBreaker;
        this.time = time;
        this.commitsPausedUntil = time.monotonicNanos();
        this.commitRate = new TokenBucket(time, commitsPerSecond, Math.max(1, commitsPerSecond));
        this.decisions = decisions;
    }

    @Override
    public void handle(ClaimMessage message) {
        switch (message) {
            case ClaimMessage.Asked requested -> requestClaim(requested.request());
            case ClaimMessage.Answered answered -> committer.recordAnswer(answered.ticket(), answered.answer());
            case ClaimMessage.NeverStarted neverStarted -> committer.recordNeverStarted(neverStarted.ticket());
            case ClaimMessage.Tick ignored -> submitDueRechecks();
            case ClaimMessage.FlushAsked requested -> flush(requested.flushed());
        }
    }

    @Override
    public void batchEnded() {
        while (committer.hasDueWork() && mayCommit()) {
            long startedAt = time.monotonicNanos();
            committer.commitBatch().forEach(this::handleDecision);
            pauseIfSlow(startedAt);
        }
    }

    // On a fast store a commit ends before the next claim arrives, and no commit would be shared: bookings alone would
    // use up the share of store calls of this process, and changes by operators would be refused. A few commits after
    // an idle period are made at once; further ones wait for the commit rate.
    private boolean mayCommit() {
        return time.monotonicNanos() - commitsPausedUntil >= 0 && commitRate.tryAcquire();
    }

    // Outcomes that could not be written wait for the next commit. With an unresponsive store this thread would
    // continue from one time-out to the next, and calls that arrive meanwhile would wait in its ring buffer for a
    // refusal that is certain.
    private void pauseIfSlow(long startedAt) {
        long now = time.monotonicNanos();
        if (now - startedAt >= SLOW_COMMIT.toNanos()) {
            storeBreaker.recordFailure();
            commitsPausedUntil = now + PAUSE_AFTER_SLOW_COMMIT.toNanos();
        }
    }

    private void requestClaim(ClaimRequest request) {
        if (storeBreaker.tryAcquire() instanceof BreakerDecision.Rejected open) {
            decisions.accept(new ClaimDecision.NotClaimed(
                    request, open.retryAfter(), "The store did not answer the previous claims; retry later."));
            return;
        }
        submit(request);
    }

    private void submit(ClaimRequest request) {
        if (!committer.submit(request)) {
            checksByRequest.remove(request.id());
            decisions.accept(new ClaimDecision.NotClaimed(
                    request, settings.minRetryAfter(), "Too many claims are waiting for the store; retry later."));
        }
    }

    private void handleDecision(ClaimDecision decision) {
        if (decision instanceof ClaimDecision.NotClaimed) {
            storeBreaker.recordFailure();
        } else {
            storeBreaker.recordSuccess();
        }
        if (decision instanceof ClaimDecision.OutcomeUnknown unknown && scheduleRecheck(unknown.request())) {
            return;
        }
        checksByRequest.remove(decision.request().id());
        decisions.accept(decision);
    }

    // A caller that retries its call at another entry right after the answer would receive an unknown outcome, only
    // because the outcome is written a moment after the answer is sent. A few checks within a second find it.
    private boolean scheduleRecheck(ClaimRequest request) {
        int checks = checksByRequest.merge(request.id(), 1, Integer::sum);
        if (checks >= MAX_CHECKS) {
            return false;
        }
        pendingRechecks.add(new Recheck(request, time.monotonicNanos() + RECHECK_DELAY.toNanos()));
        return true;
    }

    private void submitDueRechecks() {
        long now = time.monotonicNanos();
        List<Recheck> due = pendingRechecks.stream()
                .filter(recheck -> recheck.dueAt() - now <= 0)
                .toList();
        pendingRechecks.removeAll(due);
        due.forEach(recheck -> submit(recheck.request()));
    }

    private void flush(CompletableFuture<Void> flushed) {
        pendingRechecks.forEach(recheck -> decisions.accept(new ClaimDecision.OutcomeUnknown(recheck.request())));
        pendingRechecks.clear();
        for (int round = 0; round < FLUSH_ROUNDS; round++) {
            while (committer.hasDueWork()) {
                committer.commitBatch().forEach(this::handleDecision);
            }
            LockSupport.parkNanos(FLUSH_INTERVAL.toNanos());
        }
        flushed.complete(null);
    }

    /** A claim to be checked again. */
    private record Recheck(ClaimRequest request, long dueAt) {}
}
