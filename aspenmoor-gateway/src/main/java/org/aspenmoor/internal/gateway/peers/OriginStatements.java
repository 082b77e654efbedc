package org.aspenmoor.internal.gateway.peers;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.aspenmoor.internal.serving.origin.StreamOrigin;

/** Hands what this entry is to state in its registration from the event loop to the thread that writes it. */
public final class OriginStatements {
    private final Semaphore requests = new Semaphore(0);
    private final AtomicBoolean listingRequested = new AtomicBoolean();
    private volatile Optional<Set<StreamOrigin>> origins = Optional.empty();

    /** Has the registration state these origins, now and whenever it is renewed. */
    public void write(Set<StreamOrigin> newOrigins) {
        origins = Optional.of(Set.copyOf(newOrigins));
        requests.release();
    }

    /** Has the registrations listed now. */
    public void list() {
        listingRequested.set(true);
        requests.release();
    }

    /** Returns what the registration is to state; empty if that is not known yet. */
    Optional<Set<StreamOrigin>> origins() {
        return origins;
    }

    /** Waits for a request; returns false if there is none within the given time. */
    boolean await(Duration timeout) throws InterruptedException {
        boolean requested = requests.tryAcquire(timeout.toNanos(), TimeUnit.NANOSECONDS);
        requests.drainPermits();
        return requested;
    }

    /** Returns whether the registrations are to be listed, once for all requests so far. */
    boolean takeListingRequest() {
        return listingRequested.getAndSet(false);
    }
}
