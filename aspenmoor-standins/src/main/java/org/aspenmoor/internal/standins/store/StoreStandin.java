package org.aspenmoor.internal.standins.store;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.aspenmoor.internal.standins.http.Call;
import org.aspenmoor.internal.standins.http.Handler;
import org.aspenmoor.internal.standins.http.Json;
import org.aspenmoor.internal.time.TimeSource;

/** The object API over objects in memory, with faults on request. */
public final class StoreStandin implements Handler, AutoCloseable {
    private static final List<String> API = List.of("apis", "aspenmoor.org", "v1");
    private static final int RESOURCE_PATH = 4;
    private static final int NAMESPACE_PATH = 6;
    private static final int OBJECT_PATH = 7;
    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final TimeSource time;
    private final StoreLimits limits;
    private final ObjectBook book = new ObjectBook();
    private final StoreFaults faults = new StoreFaults();
    private final StoreLedger ledger = new StoreLedger();
    private final WatchStream watches = new WatchStream(book, ledger);

    public StoreStandin(TimeSource time, int readsPerSecond, int writesPerSecond) {
        this.time = time;
        this.limits = new StoreLimits(time, readsPerSecond, writesPerSecond);
    }

    @Override
    public void handle(Call call) throws IOException {
        List<String> parts = call.pathParts();
        if (call.path().equals("/standin/ledger")) {
            call.respond(OK, ledger.toJson());
            return;
        }
        if (call.path().equals("/standin/faults")) {
            setFaults(call);
            return;
        }
        if (parts.size() < RESOURCE_PATH || !parts.subList(0, API.size()).equals(API)) {
            refuse(call, NOT_FOUND, "NotFound");
            return;
        }
        if (outOfOrder(call)) {
            return;
        }
        dispatch(call, parts);
    }

    @Override
    public void close() {
        book.close();
    }

    private void setFaults(Call call) throws IOException {
        Optional<ObjectNode> change = Json.parseObject(call.body());
        if (change.isEmpty()) {
            call.refuse(BAD_REQUEST, "Send a JSON object of faults.");
            return;
        }
        faults.apply(change.get(), book);
        call.respond(OK, Json.object());
    }

    private boolean outOfOrder(Call call) throws IOException {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(faults.delayMilliseconds()));
        switch (faults.outage()) {
            case NONE -> {
                return false;
            }
            case REFUSE -> refuse(call, SERVICE_UNAVAILABLE, "ServiceUnavailable");
            case DROP -> call.drop();
        }
        ledger.refusedInOutage();
        return true;
    }

    private void dispatch(Call call, List<String> parts) throws IOException {
        boolean reads = call.method().equals("GET");
        if (reads ? !limits.allowRead() : !limits.allowWrite()) {
            ledger.overLimit();
            call.answerHeader("Retry-After", "1");
            refuse(call, TOO_MANY_REQUESTS, "TooManyRequests");
            return;
        }
        if (reads && call.query("watch").equals(Optional.of("true"))) {
            ledger.watchOpened(second());
            watches.serve(call, parts.getLast());
            return;
        }
        if (reads) {
            ledger.read(second());
            answerRead(call, parts);
            return;
        }
        answerWrite(call, parts);
    }

    private void answerRead(Call call, List<String> parts) throws IOException {
        if (parts.size() == OBJECT_PATH) {
            Optional<Revision> revision = book.read(nameOf(parts, parts.getLast()));
            if (revision.isEmpty()) {
                refuse(call, NOT_FOUND, "NotFound");
                return;
            }
            call.respond(OK, revision.get().toJson());
            return;
        }
        Optional<String> namespace = parts.size() == NAMESPACE_PATH ? Optional.of(parts.get(4)) : Optional.empty();
        call.respond(OK, book.list(parts.getLast(), namespace).toJson());
    }

    private void answerWrite(Call call, List<String> parts) throws IOException {
        if (parts.size() < NAMESPACE_PATH) {
            refuse(call, NOT_FOUND, "NotFound");
            return;
        }
        Optional<ObjectNode> body = Json.parseObject(call.body());
        if (body.isEmpty()) {
            refuse(call, BAD_REQUEST, "BadRequest");
            return;
        }
        ledger.write(second(), parts.get(5));
        WriteResult result = write(call.method(), parts, body.get());
        // The write above has taken effect; its caller hears nothing of it.
        if (faults.losesThisAnswer()) {
            ledger.answerLost();
            call.drop();
            return;
        }
        answer(call, result);
    }

    private WriteResult write(String method, List<String> parts, ObjectNode body) {
        ObjectNode spec = body.path("spec") instanceof ObjectNode object ? object : Json.object();
        return switch (method) {
            case "POST" ->
                book.create(nameOf(parts, body.path("metadata").path("name").asText()), spec);
            case "PUT" -> book.update(nameOf(parts, parts.getLast()), version(body, "metadata"), spec);
            case "DELETE" -> book.delete(nameOf(parts, parts.getLast()), version(body, "preconditions"));
            default -> new WriteResult.Missing();
        };
    }

    private void answer(Call call, WriteResult result) throws IOException {
        switch (result) {
            case WriteResult.Written written ->
                call.respond(
                        call.method().equals("POST") ? CREATED : OK,
                        written.revision().toJson());
            case WriteResult.Conflict conflict -> {
                ledger.conflict();
                refuse(call, CONFLICT, conflict.reason());
            }
            case WriteResult.Missing missing -> refuse(call, NOT_FOUND, "NotFound");
        }
    }

    private static Optional<Long> version(ObjectNode body, String holder) {
        String text = body.path(holder).path("resourceVersion").asText();
        return text.isEmpty() ? Optional.empty() : Optional.of(Long.parseLong(text));
    }

    private static ObjectName nameOf(List<String> parts, String name) {
        return new ObjectName(parts.get(5), parts.get(4), name);
    }

    private static void refuse(Call call, int status, String reason) throws IOException {
        ObjectNode body = Json.object();
        body.put("kind", "Status");
        body.put("status", "Failure");
        body.put("reason", reason);
        body.put("code", status);
        call.respond(status, body);
    }

    private long second() {
        return TimeUnit.NANOSECONDS.toSeconds(time.monotonicNanos());
    }
}
