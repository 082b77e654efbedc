package org.aspenmoor.internal.claims;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.aspenmoor.internal.claim.ClaimDesk;
import org.aspenmoor.internal.claim.ClaimRequest;
import org.aspenmoor.internal.claim.ClaimSettings;
import org.aspenmoor.internal.claim.ClaimVerdict;
import org.aspenmoor.internal.duty.DutyHandler;

/**
 * Gathers claims while a write is under way, so that the next write carries all of them.
 *
 * <p>The store takes several hundred writes a second from the whole system. Claims written one by one would use that up
 * as bookings grow; one would notice it as claims that wait ever longer. Those that arrive during a write share the next.
 */
public final class ClaimHandler implements DutyHandler<ClaimMessage> {
    private static final Duration FLUSH_STEP = Duration.ofMillis(20);
    private static final int FLUSH_STEPS = 20;

    private final ClaimDesk desk;
    private final ClaimSettings settings;
    private final Consumer<ClaimVerdict> verdicts;

    public ClaimHandler(ClaimDesk desk, ClaimSettings settings, Consumer<ClaimVerdict> verdicts) {
        this.desk = desk;
        this.settings = settings;
        this.verdicts = verdicts;
    }

    @Override
    public void handle(ClaimMessage message) {
        switch (message) {
            case ClaimMessage.Asked asked -> ask(asked.request());
            case ClaimMessage.Answered answered -> desk.answered(answered.ticket(), answered.answer());
            case ClaimMessage.NeverStarted never -> desk.neverStarted(never.ticket());
            case ClaimMessage.Tick ignored -> {
                // The end of the batch commits what has become due.
            }
            case ClaimMessage.FlushAsked asked -> flush(asked.flushed());
        }
    }

    @Override
    public void batchEnded() {
        while (desk.hasDueWork()) {
            List<ClaimVerdict> judged = desk.commitBatch();
            judged.forEach(verdicts);
        }
    }

    private void ask(ClaimRequest request) {
        if (!desk.submit(request)) {
            verdicts.accept(new ClaimVerdict.NotClaimed(
                    request, settings.comeBackAfter(), "Too many claims wait for the store."));
        }
    }

    private void flush(CompletableFuture<Void> flushed) {
        for (int step = 0; step < FLUSH_STEPS; step++) {
            batchEnded();
            LockSupport.parkNanos(FLUSH_STEP.toNanos());
        }
        flushed.complete(null);
    }
}
