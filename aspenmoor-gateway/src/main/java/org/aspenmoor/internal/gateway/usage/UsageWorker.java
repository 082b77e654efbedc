package org.aspenmoor.internal.gateway.usage;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.usage.UsageDuty;
import org.aspenmoor.internal.usage.UsageSnapshot;

/** Performs the usage duty on its own thread, since calls to the store and to the platform block. */
public final class UsageWorker {
    /** Short against the time within which a report is due, and long enough that an idle check costs nothing. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);

    private final UsageTracker tracker;
    private final UsageDuty duty;
    private final Executor eventLoop;
    private final DecisionLog log;

    public UsageWorker(UsageTracker tracker, UsageDuty duty, Executor eventLoop, DecisionLog log) {
        this.tracker = tracker;
        this.duty = duty;
        this.eventLoop = eventLoop;
        this.log = log;
    }

    /** Starts the worker thread. */
    public void start() {
        Thread.ofPlatform().daemon().name("usage").start(this::run);
    }

    private void run() {
        try {
            while (true) {
                TimeUnit.NANOSECONDS.sleep(CHECK_INTERVAL.toNanos());
                check();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void check() throws InterruptedException {
        try {
            UsageSnapshot snapshot =
                    CompletableFuture.supplyAsync(tracker::snapshot, eventLoop).join();
            duty.advance(snapshot);
            boolean holder = duty.holder();
            long settled = duty.settled();
            eventLoop.execute(() -> tracker.dutyAdvanced(holder, settled));
        } catch (CompletionException failure) {
            log.notable("usage-check-failed")
                    .with("reason", String.valueOf(failure.getCause()))
                    .write();
        }
    }
}
