package org.aspenmoor.internal.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.aspenmoor.internal.standins.http.Call;
import org.aspenmoor.internal.standins.http.Handler;
import org.aspenmoor.internal.standins.http.Json;

/** A model engine that generates {@link DeterministicText}; supports orders, cache events and injected faults. */
public final class EngineStandin implements Handler {
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int HEXADECIMAL = 16;

    private final EngineSettings settings;
    private final String incarnation;
    private final EngineFaults faults = new EngineFaults();
    private final EngineLedger ledger = new EngineLedger();
    private final AtomicLong queuedPrefillTokens = new AtomicLong();
    private final AtomicLong statusReports = new AtomicLong();
    private final OrderExecutor orders;
    private final SequenceSlots slots;
    private final PrefixCache cache;
    private final Generator generator;

    public EngineStandin(EngineSettings settings, String incarnation) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.orders = new OrderExecutor(settings, faults, ledger);
        this.slots = new SequenceSlots(settings.maxSequences());
        this.cache = new PrefixCache(settings.cachePieces());
        this.generator = new Generator(settings, faults, orders, cache, queuedPrefillTokens);
    }

    @Override
    public void handle(Call call) throws IOException {
        try {
            route(call);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            call.dropConnection();
        }
    }

    private void route(Call call) throws IOException, InterruptedException {
        String path = call.path();
        if (path.equals("/standin/faults")) {
            setFaults(call);
            return;
        }
        if (path.equals("/standin/ledger")) {
            call.respond(OK, ledger.toJson());
            return;
        }
        faults.waitWhileFrozen();
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(faults.delayMilliseconds()));
        switch (path) {
            case "/v1/completions" -> generate(call, false);
            case "/v1/chat/completions" -> generate(call, true);
            case "/control/status" -> respondWithStatus(call);
            case "/control/orders" -> receiveOrder(call);
            case "/cache/events" -> respondWithCacheEvents(call);
            case "/cache/export" -> exportCache(call);
            case "/cache/import" -> importCache(call);
            default -> call.respondError(NOT_FOUND, "The engine stand-in does not serve this path.");
        }
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

    private void generate(Call call, boolean chat) throws IOException, InterruptedException {
        Optional<GenerationCall> generation =
                Json.parseObject(call.body()).flatMap(body -> GenerationCall.read(call, body, chat));
        if (generation.isEmpty()) {
            call.respondError(BAD_REQUEST, "The body must be a JSON object with model and prompt.");
            return;
        }
        slots.enter(generation.get().priority());
        try {
            if (orders.isChangingRole()) {
                call.respondError(SERVICE_UNAVAILABLE, "The engine is changing its role; the request did not run.");
                return;
            }
            run(call, generation.get());
        } finally {
            slots.leave();
        }
    }

    private void run(Call call, GenerationCall generation) throws IOException, InterruptedException {
        RunRecord runRecord = ledger.recordRun(generation);
        try {
            generator.prefill(generation);
            if (generation.stream()) {
                generator.stream(call, generation, runRecord);
            } else {
                generator.respondComplete(call, generation, runRecord);
            }
        } finally {
            if (runRecord.end() == RunRecord.End.RUNNING) {
                runRecord.end(RunRecord.End.CANCELLED);
            }
        }
    }

    private void respondWithStatus(Call call) throws IOException {
        ObjectNode root = Json.object();
        root.put("name", settings.name());
        root.put("incarnation", incarnation);
        orders.writeStatus(root, call.queryParameter("order"));
        root.putObject("load")
                .put("sequence", statusReports.incrementAndGet())
                .put("queuedPrefillTokens", queuedPrefillTokens.get())
                .put("runningSequences", slots.running())
                .put("mostSequences", slots.maxRunning())
                .put("freeCachePieces", cache.maxPieces() - cache.usedPieces())
                .put("allCachePieces", cache.maxPieces());
        call.respond(OK, root);
    }

    private void receiveOrder(Call call) throws IOException {
        Optional<ObjectNode> order = Json.parseObject(call.body());
        if (order.isEmpty()) {
            call.respondError(BAD_REQUEST, "The order must be a JSON object.");
            return;
        }
        Optional<String> refusal = orders.begin(order.get());
        if (refusal.isPresent()) {
            call.respondError(CONFLICT, refusal.get());
            return;
        }
        call.respond(ACCEPTED, Json.object());
    }

    private void respondWithCacheEvents(Call call) throws IOException {
        long after = Long.parseLong(call.queryParameter("after").orElse("0"));
        try (OutputStream output = call.beginStream("application/x-ndjson")) {
            for (CacheEvent event : cache.eventsAfter(after)) {
                output.write((event.toJson() + "\n").getBytes(StandardCharsets.UTF_8));
            }
        }
    }

    private void exportCache(Call call) throws IOException {
        ObjectNode body = Json.parseObject(call.body()).orElseGet(Json::object);
        List<Long> pieces = PrefixCache.piecesOf(
                body.path("model").asText(), body.path("prompt").asText());
        int cachedPieces = cache.cachedPrefixTokens(pieces) / PrefixCache.TOKENS_PER_PIECE;
        ObjectNode root = Json.object();
        ArrayNode names = root.putArray("pieces");
        pieces.subList(0, cachedPieces).forEach(piece -> names.add(Long.toHexString(piece)));
        call.respond(OK, root);
    }

    private void importCache(Call call) throws IOException {
        ObjectNode body = Json.parseObject(call.body()).orElseGet(Json::object);
        List<Long> pieces = new ArrayList<>();
        for (JsonNode piece : body.path("pieces")) {
            pieces.add(Long.parseUnsignedLong(piece.asText(), HEXADECIMAL));
        }
        cache.add(pieces);
        call.respond(OK, Json.object().put("taken", pieces.size()));
    }
}
