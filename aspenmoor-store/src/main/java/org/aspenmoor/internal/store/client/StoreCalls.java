package org.aspenmoor.internal.store.client;

import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreUnavailableException;
import org.aspenmoor.internal.time.TimeSource;

/**
 * Sends calls to the store with a call budget, timeouts and counters, independently of the API's paths and formats.
 *
 * <p>Reads are retried with jittered delays until their deadline. Writes are sent once: if the response is lost, the
 * writer has to find out the outcome; {@link OutcomeResolvingWriter} does this.
 */
public final class StoreCalls {
    private static final int MAX_READ_ATTEMPTS = 8;

    private final TimeSource time;
    private final StoreSettings settings;
    private final Sleeper sleeper;
    private final StoreTransport transport;
    private final CallBudget budget;
    private final StoreGeneration generation;
    private final Backoff backoff;
    private final CallCounters counters = new CallCounters();

    public StoreCalls(TimeSource time, RandomGenerator random, StoreSettings settings, StoreGeneration generation) {
        this(time, random, settings, generation, duration -> LockSupport.parkNanos(duration.toNanos()));
    }

    StoreCalls(
            TimeSource time,
            RandomGenerator random,
            StoreSettings settings,
            StoreGeneration generation,
            Sleeper sleeper) {
        this.generation = generation;
        this.time = time;
        this.settings = settings;
        this.sleeper = sleeper;
        this.transport = new StoreTransport(settings, generation);
        this.budget = new CallBudget(time, settings.callsPerSecond(), settings.maxBurstCalls());
        this.backoff = new Backoff(random, settings.initialBackoff(), settings.maxBackoff());
    }

    /** Reads, with retries while the store is unavailable; empty if the object does not exist. */
    public Optional<StoreResponse> read(URI uri) throws StoreException {
        long deadline = time.monotonicNanos() + settings.readDeadline().toNanos();
        for (int attempt = 0; ; attempt++) {
            try {
                return readOnce(uri, settings.callTimeout());
            } catch (StoreUnavailableException unavailable) {
                Duration delay = backoff.delayBeforeRetry(attempt);
                boolean pastDeadline = time.monotonicNanos() + delay.toNanos() - deadline >= 0;
                if (pastDeadline
                        || attempt + 1 >= MAX_READ_ATTEMPTS
                        || Thread.currentThread().isInterrupted()) {
                    throw unavailable;
                }
                sleeper.sleep(delay);
            }
        }
    }

    /** Makes one long-polling read, to which the store responds within the given time. */
    public Optional<StoreResponse> poll(URI uri, Duration maxWait) throws StoreException {
        return readOnce(uri, maxWait.plus(settings.callTimeout()));
    }

    /** Sends a write once and returns the response. */
    public StoreResponse write(String method, URI uri, String place, String body) throws StoreException {
        try {
            budget.acquire(place);
            counters.writeSent();
            return ResponseMapper.mapWrite(transport.write(method, uri, body), place);
        } catch (StoreException failure) {
            counters.recordFailure(failure);
            throw failure;
        }
    }

    /** Returns the highest generation of the store's history seen in a response. */
    public long generation() {
        return generation.current();
    }

    /** Returns the numbers of calls made so far. */
    public CallCounts counts() {
        return counters.counts();
    }

    CallCounters counters() {
        return counters;
    }

    CallBudget budget() {
        return budget;
    }

    StoreTransport transport() {
        return transport;
    }

    private Optional<StoreResponse> readOnce(URI uri, Duration timeout) throws StoreException {
        try {
            budget.acquire(uri.toString());
            counters.readSent();
            return ResponseMapper.mapRead(transport.read(uri, timeout), uri.toString());
        } catch (StoreException failure) {
            counters.recordFailure(failure);
            throw failure;
        }
    }
}
