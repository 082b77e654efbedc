package org.aspenmoor.internal.standins.service;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.aspenmoor.internal.standins.http.Call;
import org.aspenmoor.internal.standins.http.Handler;
import org.aspenmoor.internal.standins.http.Json;

/**
 * A plain service that creates bookings, invoices and filings and reports their state.
 *
 * <p>It ignores idempotency keys: a call that arrives twice is executed twice, and the ledger shows both executions.
 */
public final class ServiceStandin implements Handler {
    private static final List<String> CREATING_PATHS = List.of("bookings", "invoices", "filings");
    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int MAX_EXECUTIONS = 200_000;

    private final String name;
    private final String incarnation;
    private final int maxCalls;
    private final ServiceFaults faults = new ServiceFaults();
    private final Map<String, Execution> executions = new LinkedHashMap<>();
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicLong statusReports = new AtomicLong();

    public ServiceStandin(String name, String incarnation, int maxCalls) {
        this.name = name;
        this.incarnation = incarnation;
        this.maxCalls = maxCalls;
    }

    @Override
    public void handle(Call call) throws IOException {
        List<String> parts = call.pathParts();
        switch (call.path()) {
            case "/standin/faults" -> setFaults(call);
            case "/standin/ledger" -> call.respond(OK, ledger());
            case "/control/status" -> call.respond(OK, status());
            default -> {
                running.incrementAndGet();
                try {
                    answer(call, parts);
                } finally {
                    running.decrementAndGet();
                }
            }
        }
    }

    private void answer(Call call, List<String> parts) throws IOException {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(faults.delayMilliseconds()));
        if (call.method().equals("POST") && parts.size() == 1 && CREATING_PATHS.contains(parts.getFirst())) {
            create(call, parts.getFirst());
            return;
        }
        if (call.method().equals("GET") && parts.size() == 2 && parts.getFirst().equals("status")) {
            readState(call, parts.getLast());
            return;
        }
        call.respondError(NOT_FOUND, "The service stand-in does not serve this method and path.");
    }

    private void create(Call call, String kind) throws IOException {
        String body = call.body();
        Execution execution = record(call, kind, Integer.toHexString(body.hashCode()));
        faults.recordCall();
        // The call has been executed, but the caller receives no answer.
        if (faults.shouldLoseAnswer()) {
            call.dropConnection();
            return;
        }
        ObjectNode root = Json.object();
        root.put("id", execution.id());
        root.put("kind", kind);
        root.put("state", "accepted");
        root.put("bodyHash", execution.bodyHash());
        call.respond(CREATED, root);
    }

    private Execution record(Call call, String kind, String bodyHash) {
        synchronized (executions) {
            Execution execution = new Execution(
                    name + "." + kind + "." + executions.size(),
                    call.path(),
                    call.header("X-Request-Id").orElse(""),
                    call.header("X-Attempt").orElse(""),
                    call.header("Idempotency-Key").orElse(""),
                    bodyHash);
            if (executions.size() < MAX_EXECUTIONS) {
                executions.put(execution.id(), execution);
            }
            return execution;
        }
    }

    private void readState(Call call, String id) throws IOException {
        boolean known;
        synchronized (executions) {
            known = executions.containsKey(id);
        }
        ObjectNode root = Json.object();
        root.put("id", id);
        root.put("state", known ? "accepted" : "heldElsewhere");
        call.respond(OK, root);
    }

    private void setFaults(Call call) throws IOException {
        Optional<ObjectNode> change = Json.parseObject(call.body());
        if (change.isEmpty()) {
            call.respondError(BAD_REQUEST, "The body must be a JSON object of faults.");
            return;
        }
        faults.apply(change.get());
        call.respond(OK, Json.object());
    }

    private ObjectNode ledger() {
        ObjectNode root = Json.object();
        ArrayNode list = root.putArray("executions");
        synchronized (executions) {
            executions.values().forEach(execution -> list.add(execution.toJson()));
        }
        return root;
    }

    private ObjectNode status() {
        ObjectNode root = Json.object();
        root.put("name", name);
        root.put("incarnation", incarnation);
        root.put("role", "WHOLE");
        root.put("ready", true);
        root.putNull("lastOrderId");
        root.put("lastOrderState", "NEVER_SEEN");
        root.put("highestFencingNumber", 0);
        root.putArray("loaded");
        root.putObject("load")
                .put("sequence", statusReports.incrementAndGet())
                .put("queuedPrefillTokens", 0)
                .put("runningSequences", running.get())
                .put("mostSequences", maxCalls)
                .put("freeCachePieces", 0)
                .put("allCachePieces", 0);
        return root;
    }
}
