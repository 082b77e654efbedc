package org.aspenmoor.internal.gateway.request;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.aspenmoor.internal.gateway.protocol.CacheSource;
import org.aspenmoor.internal.serving.BackendServer;

/**
 * The cache of a prompt after prefill, which the prefill engine holds until a decode engine has transferred it.
 *
 * @param engine the prefill engine
 * @param source the address and handle of the cache
 */
record PrefilledPrompt(BackendServer engine, CacheSource source) {
    /** The cache expires by itself some seconds later. */
    private static final Duration RELEASE_TIME_LIMIT = Duration.ofSeconds(5);

    private static final Duration MAX_SPREAD = Duration.ofSeconds(1);

    /**
     * Notifies the engine that the cache will not be transferred, so that the engine can free its memory. If it wants a
     * pause from this entry, it is notified some time after the pause, so that not all calls of the pause come at once.
     */
    void release(ServingContext context, String requestId) {
        ServingState state = context.state();
        Duration pause =
                state.placement().backoffs().remaining(engine.id(), state.time().monotonicNanos());
        if (pause.isZero()) {
            sendRelease(context, requestId);
            return;
        }
        long spreadNanos = (long) (MAX_SPREAD.toNanos() * state.random().nextDouble());
        context.eventLoop()
                .schedule(() -> sendRelease(context, requestId), pause.toNanos() + spreadNanos, TimeUnit.NANOSECONDS);
    }

    private void sendRelease(ServingContext context, String requestId) {
        context.state()
                .log()
                .routine("prompt-freed")
                .with("request", requestId)
                .with("server", engine.id())
                .write();
        context.connections()
                .call(engine, context.protocol().release(source), RELEASE_TIME_LIMIT, new IgnoringExchangeListener());
    }
}
