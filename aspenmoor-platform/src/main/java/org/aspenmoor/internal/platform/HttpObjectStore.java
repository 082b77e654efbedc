package org.aspenmoor.internal.platform;

import java.net.URI;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Flow;
import java.util.concurrent.locks.LockSupport;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreListing;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoreUnavailableException;
import org.aspenmoor.internal.store.StoreWatch;
import org.aspenmoor.internal.store.StoreWatchListener;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.time.TimeSource;

/**
 * The object store over its HTTP API.
 *
 * <p>Reads are repeated with jittered pauses until their deadline. Writes are sent once: whoever writes must settle a
 * lost answer, for which there is {@link SettledWrites}.
 */
public final class HttpObjectStore implements ObjectStore {
    private static final int MOST_VALUE_BYTES = 1024 * 1024;
    private static final int MOST_READ_ATTEMPTS = 8;
    private static final int OK = 200;

    private final ObjectPaths paths;
    private final TimeSource time;
    private final StoreSettings settings;
    private final Pauser pauser;
    private final StoreTransport transport;
    private final CallBudget budget;
    private final Backoff backoff;
    private final CallCounters counters = new CallCounters();

    public HttpObjectStore(URI base, TimeSource time, RandomGenerator random, StoreSettings settings) {
        this(base, time, random, settings, duration -> LockSupport.parkNanos(duration.toNanos()));
    }

    HttpObjectStore(URI base, TimeSource time, RandomGenerator random, StoreSettings settings, Pauser pauser) {
        this.paths = new ObjectPaths(base);
        this.time = time;
        this.settings = settings;
        this.pauser = pauser;
        this.transport = new StoreTransport(settings);
        this.budget = new CallBudget(time, settings.callsPerSecond(), settings.mostCallsAtOnce());
        this.backoff = new Backoff(random, settings.firstBackoff(), settings.mostBackoff());
    }

    /** Returns how many calls the process has made. */
    public CallCounts counts() {
        return counters.counts();
    }

    @Override
    public Optional<StoredObject> read(ObjectKey key) throws StoreException {
        Optional<String> body = readWithRetries(paths.object(key));
        if (body.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(ObjectCodec.read(key.kind(), key.toString(), body.get()));
    }

    @Override
    public StoreListing list(ObjectKind kind) throws StoreException {
        return listAt(paths.all(kind), kind);
    }

    @Override
    public List<StoredObject> list(ObjectKind kind, String namespace) throws StoreException {
        return listAt(paths.namespace(kind, namespace), kind).objects();
    }

    @Override
    public StoredObject create(ObjectKey key, String value) throws StoreException {
        refuseTooLarge(key, value);
        String body = ObjectCodec.write(key, "", value);
        return write("POST", paths.namespace(key.kind(), key.namespace()), key, body);
    }

    @Override
    public StoredObject update(StoredObject read, String value) throws StoreException {
        refuseTooLarge(read.key(), value);
        String body = ObjectCodec.write(read.key(), read.version(), value);
        return write("PUT", paths.object(read.key()), read.key(), body);
    }

    @Override
    public void delete(StoredObject read) throws StoreException {
        String body = ObjectCodec.writeDeletion(read.version());
        sendWrite("DELETE", paths.object(read.key()), read.key().toString(), body);
    }

    @Override
    public StoreWatch watch(ObjectKind kind, String fromVersion, StoreWatchListener listener) throws StoreException {
        try {
            URI uri = paths.watch(kind, fromVersion);
            budget.take(uri.toString());
            HttpResponse<Flow.Publisher<List<ByteBuffer>>> response = transport.open(uri);
            if (response.statusCode() != OK) {
                response.body().subscribe(new DiscardingSubscriber());
                StoreAnswer answer = new StoreAnswer(response.statusCode(), "", StoreTransport.retryAfter(response));
                throw StoreAnswers.toWatch(answer, uri.toString());
            }
            HttpStoreWatch watch = new HttpStoreWatch(kind, uri, settings.watchSilence(), listener, counters);
            watch.start(response.body());
            return watch;
        } catch (StoreException failure) {
            counters.failed(failure);
            throw failure;
        }
    }

    private StoreListing listAt(URI uri, ObjectKind kind) throws StoreException {
        Optional<String> body = readWithRetries(uri);
        if (body.isEmpty()) {
            throw new StoreMalformedException(
                    "The store does not know this kind of object.", uri.toString(), "Check the store's address.");
        }
        return ObjectCodec.readListing(kind, uri.toString(), body.get());
    }

    private Optional<String> readWithRetries(URI uri) throws StoreException {
        long deadline = time.monotonicNanoseconds() + settings.readDeadline().toNanos();
        for (int attempt = 0; ; attempt++) {
            try {
                return readOnce(uri);
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

    private Optional<String> readOnce(URI uri) throws StoreException {
        try {
            budget.take(uri.toString());
            counters.readSent();
            return StoreAnswers.toRead(transport.read(uri), uri.toString());
        } catch (StoreException failure) {
            counters.failed(failure);
            throw failure;
        }
    }

    private StoredObject write(String method, URI uri, ObjectKey key, String body) throws StoreException {
        String answer = sendWrite(method, uri, key.toString(), body);
        return ObjectCodec.read(key.kind(), key.toString(), answer);
    }

    private String sendWrite(String method, URI uri, String place, String body) throws StoreException {
        try {
            budget.take(place);
            counters.writeSent();
            return StoreAnswers.toWrite(transport.write(method, uri, body), place);
        } catch (StoreException failure) {
            counters.failed(failure);
            throw failure;
        }
    }

    private static void refuseTooLarge(ObjectKey key, String value) throws StoreMalformedException {
        if (value.getBytes(StandardCharsets.UTF_8).length > MOST_VALUE_BYTES) {
            throw new StoreMalformedException(
                    "The value is larger than a megabyte, the most that the store holds.",
                    key.toString(),
                    "Split it or make it smaller; nothing was sent.");
        }
    }
}
