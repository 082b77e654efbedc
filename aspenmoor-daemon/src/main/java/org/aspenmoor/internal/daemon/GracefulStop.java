package org.aspenmoor.internal.daemon;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.jboss.logging.Logger;

/** Shuts the process down gracefully on SIGTERM: no new work is accepted, and running requests may finish first. */
final class GracefulStop {
    private static final Logger LOG = Logger.getLogger("daemon");

    private GracefulStop() {}

    static void onSignal(Supplier<CompletableFuture<Void>> drain, Duration limit, Runnable close) {
        Thread hook = Thread.ofPlatform().name("aspenmoor-stop").unstarted(() -> stop(drain.get(), limit, close));
        Runtime.getRuntime().addShutdownHook(hook);
    }

    private static void stop(CompletableFuture<Void> drained, Duration limit, Runnable close) {
        try {
            drained.get(limit.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException limitExceeded) {
            LOG.errorf("daemon: requests still running after %d s are aborted", limit.toSeconds());
        } catch (ExecutionException failure) {
            LOG.errorf(failure, "daemon: draining failed");
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        close.run();
    }
}
