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
 * writer has to find out the outcome; {@link SettledWrites} does this.
 */
public final class StoreCalls {
    private static final int MOST_READ_ATTEMPTS = 8;

    private final TimeSource time;
    private final StoreSettings settings;
    private final Pauser pauser;
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
            Pauser pauser) {
        this.generation = generation;
        this.time = time;
        this.settings = settings;
        this.pauser = pauser;
        this.transport = new StoreTransport(settings, generation);
        this.budget = new CallBudget(time, settings.callsPerSecond(), settings.mostCallsAtOnce());
        this.backoff = new Backoff(random, settings.firstBackoff(), settings.mostBackoff());
    }

    /** Reads, with retries while the store is unavailable; empty if the object does not exist. */
    public Optional<StoreReply> read(URI uri) throws StoreException {
        long deadline = time.monotonicNanoseconds() + settings.readDeadline().toNanos();
        for (int attempt = 0; ; attempt++) {
            try {
                return readOnce(uri, settings.callTimeout());
            } catch (StoreUnavailableException unavailable) {
                Duration pause = backoff.pauseBefore(attempt);
                boolean late = time.monotonicNanoseconds() + pause.toNanos() - deadline >= 0;
                if (late
                        || attempt + 1 >= MOST_READ_ATTEMPTS
                        || Thread.currentThread().isInterrupted()) {
                    throw unavailable;
                }
                pauser.pause(pause);
            }
        }
    }

    /** Makes one long-polling read, to which the store responds within the given time. */
    public Optional<StoreReply> poll(URI uri, Duration waiting) throws StoreException {
        return readOnce(uri, waiting.plus(settings.callTimeout()));
    }

    /** Sends a write once and returns the response. */
    public StoreReply write(String method, URI uri, String place, String body) throws StoreException {
        try {
            budget.take(place);
            counters.writeSent();
            return StoreAnswers.toWrite(transport.write(method, uri, body), place);
        } catch (StoreException failure) {
            counters.failed(failure);
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

    private Optional<StoreReply> readOnce(URI uri, Duration timeout) throws StoreException {
        try {
            budget.take(uri.toString());
            counters.readSent();
            return StoreAnswers.toRead(transport.read(uri, timeout), uri.toString());
        } catch (StoreException failure) {
            counters.failed(failure);
            throw failure;
        }
    }
}
