package org.aspenmoor.internal.duty;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** The thread that reminds duties of the passing of time. */
public final class Ticker implements AutoCloseable {
    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(
            task -> Thread.ofPlatform().name("aspenmoor-ticker").daemon(true).unstarted(task));

    /** Runs a short, non-blocking action again and again. */
    public void scheduleEvery(Duration period, Runnable action) {
        executor.scheduleWithFixedDelay(action, period.toMillis(), period.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
