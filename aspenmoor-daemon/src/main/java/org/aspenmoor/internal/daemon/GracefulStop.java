package org.aspenmoor.internal.daemon;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.jboss.logging.Logger;

/** Turns SIGTERM into a graceful shutdown: no new work, running requests end, then the process does. */
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
            LOG.errorf("daemon: requests still ran after %d s, they are cut", limit.toSeconds());
        } catch (ExecutionException failure) {
            LOG.errorf(failure, "daemon: the drain failed");
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        close.run();
    }
}
