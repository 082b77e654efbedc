package org.aspenmoor.internal.gateway.request;

import java.util.Optional;
import java.util.function.Supplier;
import org.aspenmoor.internal.gateway.caller.ActiveRequest;

/** A request that came before this process knew its configuration and servers; served or refused once that is settled. */
final class StartingRequest implements ActiveRequest {
    private final long waitsUntil;
    private final Supplier<ActiveRequest> serve;
    private final Supplier<ActiveRequest> refuse;
    private final Runnable release;
    private Optional<ActiveRequest> begun = Optional.empty();
    private boolean left;

    /**
     * Makes a request.
     *
     * @param waitsUntil until when it waits, on the monotonic clock
     * @param serve begins to serve it
     * @param refuse tells its caller to come back
     * @param release gives back what it holds, where its caller leaves before either
     */
    StartingRequest(long waitsUntil, Supplier<ActiveRequest> serve, Supplier<ActiveRequest> refuse, Runnable release) {
        this.waitsUntil = waitsUntil;
        this.serve = serve;
        this.refuse = refuse;
        this.release = release;
    }

    /** Goes on where that is due; returns whether it waits no longer. */
    boolean settled(boolean ready, long now) {
        if (left) {
            return true;
        }
        if (!ready && now < waitsUntil) {
            return false;
        }
        begun = Optional.of(ready ? serve.get() : refuse.get());
        return true;
    }

    @Override
    public void callerDisconnected() {
        if (begun.isPresent()) {
            begun.get().callerDisconnected();
            return;
        }
        left = true;
        release.run();
    }

    @Override
    public void writabilityChanged() {
        begun.ifPresent(ActiveRequest::writabilityChanged);
    }
}
