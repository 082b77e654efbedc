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

/** Serves the object API from memory, with injected faults. */
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
    private final ObjectTable objects = new ObjectTable();
    private final StoreFaults faults = new StoreFaults();
    private final StoreLedger ledger = new StoreLedger();
    private final WatchStream watches = new WatchStream(objects, ledger);

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
            respondFailure(call, NOT_FOUND, "NotFound");
            return;
        }
        if (answeredByOutage(call)) {
            return;
        }
        dispatch(call, parts);
    }

    @Override
    public void close() {
        objects.close();
    }

    private void setFaults(Call call) throws IOException {
        Optional<ObjectNode> change = Json.parseObject(call.body());
        if (change.isEmpty()) {
            call.respondError(BAD_REQUEST, "The body must be a JSON object of faults.");
            return;
        }
        faults.apply(change.get(), objects);
        call.respond(OK, Json.object());
    }

    private boolean answeredByOutage(Call call) throws IOException {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(faults.delayMilliseconds()));
        switch (faults.outage()) {
            case NONE -> {
                return false;
            }
            case REFUSE -> respondFailure(call, SERVICE_UNAVAILABLE, "ServiceUnavailable");
            case DROP -> call.dropConnection();
        }
        ledger.recordRefusedInOutage();
        return true;
    }

    private void dispatch(Call call, List<String> parts) throws IOException {
        boolean isRead = call.method().equals("GET");
        if (isRead ? !limits.allowRead() : !limits.allowWrite()) {
            ledger.recordOverLimit();
            call.setResponseHeader("Retry-After", "1");
            respondFailure(call, TOO_MANY_REQUESTS, "TooManyRequests");
            return;
        }
        if (isRead && call.queryParameter("watch").equals(Optional.of("true"))) {
            ledger.recordWatchOpened(currentSecond());
            watches.serve(call, parts.getLast());
            return;
        }
        if (isRead) {
            ledger.recordRead(currentSecond());
            answerRead(call, parts);
            return;
        }
        answerWrite(call, parts);
    }

    private void answerRead(Call call, List<String> parts) throws IOException {
        if (parts.size() == OBJECT_PATH) {
            Optional<Revision> revision = objects.read(objectName(parts, parts.getLast()));
            if (revision.isEmpty()) {
                respondFailure(call, NOT_FOUND, "NotFound");
                return;
            }
            call.respond(OK, revision.get().toJson());
            return;
        }
        Optional<String> namespace = parts.size() == NAMESPACE_PATH ? Optional.of(parts.get(4)) : Optional.empty();
        call.respond(OK, objects.list(parts.getLast(), namespace).toJson());
    }

    private void answerWrite(Call call, List<String> parts) throws IOException {
        if (parts.size() < NAMESPACE_PATH) {
            respondFailure(call, NOT_FOUND, "NotFound");
            return;
        }
        Optional<ObjectNode> body = Json.parseObject(call.body());
        if (body.isEmpty()) {
            respondFailure(call, BAD_REQUEST, "BadRequest");
            return;
        }
        ledger.recordWrite(currentSecond(), parts.get(5));
        WriteResult result = write(call.method(), parts, body.get());
        // The write has taken effect, but the caller receives no answer.
        if (faults.shouldLoseAnswer()) {
            ledger.recordAnswerLost();
            call.dropConnection();
            return;
        }
        answer(call, result);
    }

    private WriteResult write(String method, List<String> parts, ObjectNode body) {
        ObjectNode spec = body.path("spec") instanceof ObjectNode object ? object : Json.object();
        return switch (method) {
            case "POST" ->
                objects.create(
                        objectName(parts, body.path("metadata").path("name").asText()), spec);
            case "PUT" -> objects.update(objectName(parts, parts.getLast()), version(body, "metadata"), spec);
            case "DELETE" -> objects.delete(objectName(parts, parts.getLast()), version(body, "preconditions"));
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
                ledger.recordConflict();
                respondFailure(call, CONFLICT, conflict.reason());
            }
            case WriteResult.Missing missing -> respondFailure(call, NOT_FOUND, "NotFound");
        }
    }

    private static Optional<Long> version(ObjectNode body, String parentField) {
        String text = body.path(parentField).path("resourceVersion").asText();
        return text.isEmpty() ? Optional.empty() : Optional.of(Long.parseLong(text));
    }

    private static ObjectName objectName(List<String> parts, String name) {
        return new ObjectName(parts.get(5), parts.get(4), name);
    }

    private static void respondFailure(Call call, int status, String reason) throws IOException {
        ObjectNode body = Json.object();
        body.put("kind", "Status");
        body.put("status", "Failure");
        body.put("reason", reason);
        body.put("code", status);
        call.respond(status, body);
    }

    private long currentSecond() {
        return TimeUnit.NANOSECONDS.toSeconds(time.monotonicNanos());
    }
}
