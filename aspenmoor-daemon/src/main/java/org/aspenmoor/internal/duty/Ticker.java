package org.aspenmoor.internal.duty;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A thread that runs periodic actions. */
public final class Ticker implements AutoCloseable {
    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(
            task -> Thread.ofPlatform().name("aspenmoor-ticker").daemon(true).unstarted(task));

    /** Runs a short, non-blocking action periodically; each run starts one period after the previous one has ended. */
    public void scheduleEvery(Duration period, Runnable action) {
        executor.scheduleWithFixedDelay(action, period.toMillis(), period.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
