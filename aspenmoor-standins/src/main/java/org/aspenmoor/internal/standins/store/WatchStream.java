package org.aspenmoor.internal.standins.store;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.aspenmoor.internal.standins.http.Call;
import org.aspenmoor.internal.standins.http.Json;

/** Streams the events of a resource to one caller; sends a bookmark whenever there was no event for a second. */
final class WatchStream {
    private static final long BOOKMARK_MILLISECONDS = 1000;
    private static final int HTTP_GONE = 410;

    private final ObjectTable objects;
    private final StoreLedger ledger;

    WatchStream(ObjectTable objects, StoreLedger ledger) {
        this.objects = objects;
        this.ledger = ledger;
    }

    void serve(Call call, String resource) throws IOException {
        ResourceFeed feed = objects.feed(resource);
        long fromVersion = Long.parseLong(call.queryParameter("resourceVersion").orElse("0"));
        Optional<Watcher> watcher = feed.watch(fromVersion);
        try {
            if (watcher.isEmpty()) {
                call.respondError(HTTP_GONE, "Events since that version have been discarded; list the resource again.");
                return;
            }
            stream(call, feed, watcher.get());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            watcher.ifPresent(feed::remove);
            ledger.recordWatchEnded();
        }
    }

    private static void stream(Call call, ResourceFeed feed, Watcher watcher) throws IOException, InterruptedException {
        try (OutputStream output = call.beginStream("application/json;stream=watch")) {
            output.flush();
            while (!watcher.hasEnded()) {
                Optional<ObjectEvent> event = watcher.next(BOOKMARK_MILLISECONDS);
                writeLine(output, event.map(ObjectEvent::toJson).orElseGet(() -> bookmark(feed)));
            }
        }
    }

    private static void writeLine(OutputStream output, ObjectNode line) throws IOException {
        output.write((line + "\n").getBytes(StandardCharsets.UTF_8));
        output.flush();
    }

    private static ObjectNode bookmark(ResourceFeed feed) {
        ObjectNode root = Json.object();
        root.put("type", "BOOKMARK");
        root.putObject("object").putObject("metadata").put("resourceVersion", String.valueOf(feed.version()));
        return root;
    }
}
