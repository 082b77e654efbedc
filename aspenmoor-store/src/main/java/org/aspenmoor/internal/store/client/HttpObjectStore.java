package org.aspenmoor.internal.store.client;

import java.net.URI;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Flow;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreListing;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoreWatch;
import org.aspenmoor.internal.store.StoreWatchListener;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.time.TimeSource;

/**
 * An {@link ObjectStore} that calls the HTTP API of the store.
 *
 * <p>If the response to a write is lost, the writer has to find out its outcome; {@link OutcomeResolvingWriter} does
 * this.
 */
public final class HttpObjectStore implements ObjectStore {
    private static final int MAX_VALUE_BYTES = 1024 * 1024;
    private static final int OK = 200;

    private final ObjectPaths paths;
    private final StoreSettings settings;
    private final StoreCalls calls;

    public HttpObjectStore(URI base, TimeSource time, RandomGenerator random, StoreSettings settings) {
        this(base, settings, new StoreCalls(time, random, settings, StoreGeneration.none()));
    }

    HttpObjectStore(URI base, TimeSource time, RandomGenerator random, StoreSettings settings, Sleeper sleeper) {
        this(base, settings, new StoreCalls(time, random, settings, StoreGeneration.none(), sleeper));
    }

    private HttpObjectStore(URI base, StoreSettings settings, StoreCalls calls) {
        this.paths = new ObjectPaths(base);
        this.settings = settings;
        this.calls = calls;
    }

    /** Returns the numbers of calls made so far. */
    public CallCounts counts() {
        return calls.counts();
    }

    @Override
    public Optional<StoredObject> read(ObjectKey key) throws StoreException {
        Optional<String> body = calls.read(paths.object(key)).map(StoreResponse::body);
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
        requireAllowedSize(key, value);
        String body = ObjectCodec.write(key, "", value);
        return write("POST", paths.namespace(key.kind(), key.namespace()), key, body);
    }

    @Override
    public StoredObject update(StoredObject read, String value) throws StoreException {
        requireAllowedSize(read.key(), value);
        String body = ObjectCodec.write(read.key(), read.version(), value);
        return write("PUT", paths.object(read.key()), read.key(), body);
    }

    @Override
    public void delete(StoredObject read) throws StoreException {
        String body = ObjectCodec.writeDeletion(read.version());
        calls.write("DELETE", paths.object(read.key()), read.key().toString(), body);
    }

    @Override
    public StoreWatch watch(ObjectKind kind, String fromVersion, StoreWatchListener listener) throws StoreException {
        try {
            URI uri = paths.watch(kind, fromVersion);
            calls.budget().acquire(uri.toString());
            HttpResponse<Flow.Publisher<List<ByteBuffer>>> response =
                    calls.transport().openStream(uri);
            if (response.statusCode() != OK) {
                response.body().subscribe(new DiscardingSubscriber());
                Duration retryAfter =
                        StoreTransport.retryAfter(response.headers().firstValue("Retry-After"));
                StoreHttpResponse errorResponse = new StoreHttpResponse(response.statusCode(), "", retryAfter, 0);
                throw ResponseMapper.mapWatchFailure(errorResponse, uri.toString());
            }
            HttpStoreWatch watch =
                    new HttpStoreWatch(kind, uri, settings.watchIdleTimeout(), listener, calls.counters());
            watch.start(response.body());
            return watch;
        } catch (StoreException failure) {
            calls.counters().recordFailure(failure);
            throw failure;
        }
    }

    private StoreListing listAt(URI uri, ObjectKind kind) throws StoreException {
        Optional<String> body = calls.read(uri).map(StoreResponse::body);
        if (body.isEmpty()) {
            throw new StoreMalformedException(
                    "The store has no resource for this kind of object.",
                    uri.toString(),
                    "Check the address of the store.");
        }
        return ObjectCodec.readListing(kind, uri.toString(), body.get());
    }

    private StoredObject write(String method, URI uri, ObjectKey key, String body) throws StoreException {
        String responseBody = calls.write(method, uri, key.toString(), body).body();
        return ObjectCodec.read(key.kind(), key.toString(), responseBody);
    }

    private static void requireAllowedSize(ObjectKey key, String value) throws StoreMalformedException {
        if (value.getBytes(StandardCharsets.UTF_8).length > MAX_VALUE_BYTES) {
            throw new StoreMalformedException(
                    "The value is larger than 1 MiB, the limit of the store; nothing was sent.",
                    key.toString(),
                    "Split the value or make it smaller.");
        }
    }
}
