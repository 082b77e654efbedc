package org.aspenmoor.internal.store.client;

import java.net.URI;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Flow;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoreUnavailableException;
import org.aspenmoor.internal.store.StoreWatch;
import org.aspenmoor.internal.store.StoreWatchListener;
import org.aspenmoor.internal.store.StoredObject;

/** An open watch on the HTTP API, with its own thread. */
final class HttpStoreWatch implements StoreWatch {
    private static final String LIST_AGAIN = "List the objects again and watch from the version of the list.";

    private final ObjectKind kind;
    private final URI uri;
    private final Duration idleTimeout;
    private final StoreWatchListener listener;
    private final CallCounters counters;
    private final LineSubscriber lines = new LineSubscriber();
    private final Thread thread;
    private volatile boolean closed;

    HttpStoreWatch(ObjectKind kind, URI uri, Duration idleTimeout, StoreWatchListener listener, CallCounters counters) {
        this.kind = kind;
        this.uri = uri;
        this.idleTimeout = idleTimeout;
        this.listener = listener;
        this.counters = counters;
        this.thread = Thread.ofPlatform()
                .daemon()
                .name("store-watch-" + kind.resource())
                .unstarted(this::run);
    }

    void start(Flow.Publisher<List<ByteBuffer>> body) {
        counters.watchOpened();
        body.subscribe(HttpResponse.BodySubscribers.fromLineSubscriber(lines));
        thread.start();
    }

    @Override
    public void close() {
        closed = true;
        lines.cancel();
        thread.interrupt();
    }

    private void run() {
        try {
            StoreException cause = readUntilEnd();
            if (!closed) {
                counters.recordFailure(cause);
                listener.ended(cause);
            }
        } finally {
            lines.cancel();
            counters.watchEnded();
        }
    }

    private StoreException readUntilEnd() {
        try {
            while (!closed) {
                Optional<String> line = lines.next(idleTimeout);
                // After a network partition the connection can stay open on this side without ever delivering data.
                // The store sends periodic bookmarks, so an idle connection means that changes may be missed; listing
                // again finds them.
                if (line == null) {
                    return ended("The watch received nothing for " + idleTimeout.toMillis() + " ms.");
                }
                if (line.isEmpty()) {
                    return ended(lines.failure()
                            .map(failure -> "The connection of the watch was lost: " + failure.getMessage())
                            .orElse("The store ended the watch."));
                }
                deliver(line.get());
                lines.requestNext();
            }
            return ended("The watch was closed.");
        } catch (InterruptedException closing) {
            Thread.currentThread().interrupt();
            return ended("The watch was closed.");
        } catch (StoreException failed) {
            return failed;
        } catch (RuntimeException unexpected) {
            // A failing listener must not end this thread without an event: the owner of the watch would wait for
            // changes that never arrive.
            return new StoreMalformedException(
                    "Processing a change failed: " + unexpected, uri.toString(), LIST_AGAIN, unexpected);
        }
    }

    private void deliver(String line) throws StoreException {
        if (line.isBlank() || closed) {
            return;
        }
        JsonMembers event = JsonSlice.of(uri.toString(), line).members();
        String type = event.parse("type").asText();
        switch (type) {
            case "ADDED", "MODIFIED" -> object(event).ifPresent(listener::changed);
            case "DELETED" -> object(event).ifPresent(listener::deleted);
            case "BOOKMARK" -> {
                // Only shows that the connection still works.
            }
            case "ERROR" ->
                throw ended("The store ended the watch with status "
                        + event.parse("object").path("code").asInt() + ".");
            default ->
                throw new StoreMalformedException(
                        "The watch sent an event of unknown type '" + type + "'.", uri.toString(), LIST_AGAIN);
        }
    }

    private Optional<StoredObject> object(JsonMembers event) {
        return event.slice("object").flatMap(object -> ObjectCodec.readIfPossible(kind, uri.toString(), object));
    }

    private StoreUnavailableException ended(String problem) {
        return new StoreUnavailableException(problem, uri.toString(), LIST_AGAIN);
    }
}
