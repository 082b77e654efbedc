package org.aspenmoorusage.caller;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.document.DocumentRegistry;
import org.aspenmoor.internal.duty.Worker;
import org.aspenmoor.internal.entry.EntryMessage;
import org.aspenmoor.internal.http.CallerRoutes;
import org.aspenmoor.internal.http.HttpServers;
import org.aspenmoor.internal.settings.CallerLimits;
import org.aspenmoor.internal.time.ManualTimeSource;
import ratpack.server.RatpackServer;

/** Serves the callers' API of an entry on a free port; messages to its event loop are queued for the test. */
final class CallerServer implements AutoCloseable {
    static final int BODY_BYTES = 2048;

    private static final int RING_SIZE = 64;
    private static final long TIMEOUT_SECONDS = 20;

    private final BlockingQueue<EntryMessage> messages = new LinkedBlockingQueue<>();
    private final Worker<EntryMessage> eventLoop = new Worker<>("test-events", RING_SIZE, messages::add);
    private final HttpClient client = HttpClient.newHttpClient();
    private final RatpackServer server;

    CallerServer() throws AspenmoorException {
        ManualTimeSource time = new ManualTimeSource();
        CallerLimits limits = new CallerLimits(BODY_BYTES, 4096, 4096, 16, 8);
        eventLoop.start();
        server = HttpServers.start(
                "127.0.0.1",
                0,
                1,
                limits.maxHeaderBytes(),
                new CallerRoutes(eventLoop, new DocumentRegistry(time), new Random(1), limits, time));
    }

    HttpClient client() {
        return client;
    }

    HttpRequest.Builder requestTo(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.getBindPort() + path))
                .header("Authorization", "Bearer studio-token");
    }

    HttpResponse<String> post(String path, String body) throws IOException, InterruptedException {
        return client.send(requestTo(path).POST(BodyPublishers.ofString(body)).build(), BodyHandlers.ofString());
    }

    /** Waits for the next message of the given type to the event loop; skips messages of other types. */
    <M extends EntryMessage> M nextMessage(Class<M> type) throws InterruptedException {
        while (true) {
            EntryMessage message = messages.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            if (message == null) {
                throw new AssertionError("no message of type " + type.getSimpleName() + " reached the event loop");
            }
            if (type.isInstance(message)) {
                return type.cast(message);
            }
        }
    }

    boolean eventLoopReceivedNothing() {
        return messages.isEmpty();
    }

    @Override
    public void close() throws Exception {
        server.stop();
        client.close();
        eventLoop.close();
    }
}
