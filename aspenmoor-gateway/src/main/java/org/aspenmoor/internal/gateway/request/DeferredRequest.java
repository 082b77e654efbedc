package org.aspenmoor.internal.gateway.request;

import java.util.Optional;
import java.util.function.Supplier;
import org.aspenmoor.internal.gateway.caller.ActiveRequest;

/** A request that arrived before this process was ready; served once it is ready, refused if the wait limit passes. */
final class DeferredRequest implements ActiveRequest {
    private final long waitsUntil;
    private final Supplier<ActiveRequest> serve;
    private final Supplier<ActiveRequest> refuse;
    private final Runnable release;
    private Optional<ActiveRequest> started = Optional.empty();
    private boolean callerHasLeft;

    /**
     * Creates a deferred request.
     *
     * @param waitsUntil when the request is refused at the latest, in nanoseconds of the monotonic clock
     * @param serve starts serving the request
     * @param refuse refuses the request and asks its caller to retry
     * @param release releases the resources of the request, if its caller leaves before it is served or refused
     */
    DeferredRequest(long waitsUntil, Supplier<ActiveRequest> serve, Supplier<ActiveRequest> refuse, Runnable release) {
        this.waitsUntil = waitsUntil;
        this.serve = serve;
        this.refuse = refuse;
        this.release = release;
    }

    /**
     * Serves the request if this process is ready, or refuses it if the wait limit has passed; returns whether the
     * request no longer waits.
     */
    boolean serveOrRefuseIfDue(boolean ready, long now) {
        if (callerHasLeft || started.isPresent()) {
            return true;
        }
        if (!ready && now < waitsUntil) {
            return false;
        }
        started = Optional.of(ready ? serve.get() : refuse.get());
        return true;
    }

    @Override
    public void callerDisconnected() {
        if (started.isPresent()) {
            started.get().callerDisconnected();
            return;
        }
        callerHasLeft = true;
        release.run();
    }

    @Override
    public void writabilityChanged() {
        started.ifPresent(ActiveRequest::writabilityChanged);
    }

    @Override
    public void processStopping() {
        started.ifPresent(ActiveRequest::processStopping);
    }

    @Override
    public void processEnding() {
        if (started.isEmpty()) {
            started = Optional.of(refuse.get());
            return;
        }
        started.get().processEnding();
    }
}
