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
import org.aspenmoor.internal.claim.ClaimRequest;
import org.aspenmoor.internal.claim.ClaimSettings;
import org.aspenmoor.internal.claim.ClaimVerdict;
import org.aspenmoor.internal.duty.MessageHandler;
import org.aspenmoor.internal.limit.TokenBucket;
import org.aspenmoor.internal.retry.BreakerDecision;
import org.aspenmoor.internal.retry.BreakerSettings;
import org.aspenmoor.internal.retry.CircuitBreaker;
import org.aspenmoor.internal.time.TimeSource;

/**
 * Gathers claims while a write is under way, so that the next write carries all of them.
 *
 * <p>The store takes several hundred writes a second from the whole system. Claims written one by one would use that up
 * as bookings grow; one would notice it as claims that wait ever longer. Those that arrive during a write share the next.
 *
 * <p>A store that keeps silent costs each batch its whole time-out, and calls would wait for a refusal that was certain.
 * So after failures the next claims are refused at once for a while, and one is let through to try.
 */
public final class ClaimHandler implements MessageHandler<ClaimMessage> {
    /** When claims are refused without asking the store: after one failure, with pauses of 1 s to 5 s. */
    public static final BreakerSettings STORE_BREAKER =
            new BreakerSettings(1, Duration.ofSeconds(1), Duration.ofSeconds(5), Duration.ofSeconds(10));

    private static final Duration FLUSH_STEP = Duration.ofMillis(20);
    private static final int FLUSH_STEPS = 20;
    private static final Duration LOOK_AGAIN_AFTER = Duration.ofMillis(200);
    private static final int MOST_LOOKS = 4;
    private static final Duration SLOW_COMMIT = Duration.ofMillis(500);
    private static final Duration REST_AFTER_SLOW_COMMIT = Duration.ofSeconds(1);

    private final ClaimCommitter committer;
    private final ClaimSettings settings;
    private final CircuitBreaker storeBreaker;
    private final TimeSource time;
    private final Consumer<ClaimVerdict> verdicts;
    private final TokenBucket pace;
    private long commitsRestUntil;
    private final Map<RequestId, Integer> looks = new HashMap<>();
    private final List<LookAgain> lookAgain = new ArrayList<>();

    public ClaimHandler(
            ClaimCommitter committer,
            ClaimSettings settings,
            CircuitBreaker storeBreaker,
            TimeSource time,
            double commitsPerSecond,
            Consumer<ClaimVerdict> verdicts) {
        this.committer = committer;
        this.settings = settings;
        this.storeBreaker = storeBreaker;
        this.time = time;
        this.commitsRestUntil = time.monotonicNanoseconds();
        this.pace = new TokenBucket(time, commitsPerSecond, Math.max(1, commitsPerSecond));
        this.verdicts = verdicts;
    }

    @Override
    public void handle(ClaimMessage message) {
        switch (message) {
            case ClaimMessage.Asked asked -> ask(asked.request());
            case ClaimMessage.Answered answered -> committer.answered(answered.ticket(), answered.answer());
            case ClaimMessage.NeverStarted never -> committer.neverStarted(never.ticket());
            case ClaimMessage.Tick ignored -> submitDueLooks();
            case ClaimMessage.FlushAsked asked -> flush(asked.flushed());
        }
    }

    @Override
    public void batchEnded() {
        while (committer.hasDueWork() && mayCommit()) {
            long began = time.monotonicNanoseconds();
            committer.commitBatch().forEach(this::judged);
            restIfSlow(began);
        }
    }

    // On a fast store a commit ends before the next claim arrives, and nothing would be shared: bookings alone would
    // use up
    // the process's share of store calls, and an operator's change be refused for it. A few commits after a quiet time
    // go
    // out at once; beyond them each waits for its turn.
    private boolean mayCommit() {
        return time.monotonicNanoseconds() - commitsRestUntil >= 0 && pace.take();
    }

    // Outcomes that could not be written wait for the next commit. With a silent store this thread would go on from one
    // time-out to the next, and calls that come meanwhile would wait in its ring for a refusal that is certain.
    private void restIfSlow(long began) {
        long now = time.monotonicNanoseconds();
        if (now - began >= SLOW_COMMIT.toNanos()) {
            storeBreaker.failed();
            commitsRestUntil = now + REST_AFTER_SLOW_COMMIT.toNanos();
        }
    }

    private void ask(ClaimRequest request) {
        if (storeBreaker.ask() instanceof BreakerDecision.Open open) {
            verdicts.accept(new ClaimVerdict.NotClaimed(
                    request, open.comeBackAfter(), "The store did not answer the claims before this one."));
            return;
        }
        submit(request);
    }

    private void submit(ClaimRequest request) {
        if (!committer.submit(request)) {
            looks.remove(request.id());
            verdicts.accept(new ClaimVerdict.NotClaimed(
                    request, settings.comeBackAfter(), "Too many claims wait for the store."));
        }
    }

    private void judged(ClaimVerdict verdict) {
        if (verdict instanceof ClaimVerdict.NotClaimed) {
            storeBreaker.failed();
        } else {
            storeBreaker.succeeded();
        }
        if (verdict instanceof ClaimVerdict.StillUnknown unknown && looksAgain(unknown.request())) {
            return;
        }
        looks.remove(verdict.request().id());
        verdicts.accept(verdict);
    }

    // A caller that repeats its call at another entry right after the answer would be told that nobody knows, only
    // because the outcome is written a moment after the answer is given. A few looks within a second find it.
    private boolean looksAgain(ClaimRequest request) {
        int done = looks.merge(request.id(), 1, Integer::sum);
        if (done >= MOST_LOOKS) {
            return false;
        }
        lookAgain.add(new LookAgain(request, time.monotonicNanoseconds() + LOOK_AGAIN_AFTER.toNanos()));
        return true;
    }

    private void submitDueLooks() {
        long now = time.monotonicNanoseconds();
        List<LookAgain> due =
                lookAgain.stream().filter(look -> look.dueAt() - now <= 0).toList();
        lookAgain.removeAll(due);
        due.forEach(look -> submit(look.request()));
    }

    private void flush(CompletableFuture<Void> flushed) {
        lookAgain.forEach(look -> verdicts.accept(new ClaimVerdict.StillUnknown(look.request())));
        lookAgain.clear();
        for (int step = 0; step < FLUSH_STEPS; step++) {
            while (committer.hasDueWork()) {
                committer.commitBatch().forEach(this::judged);
            }
            LockSupport.parkNanos(FLUSH_STEP.toNanos());
        }
        flushed.complete(null);
    }

    /** A claim that is looked at again. */
    private record LookAgain(ClaimRequest request, long dueAt) {}
}
