package org.aspenmoor.internal.agent;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.aspenmoor.internal.engine.EngineControl;
import org.aspenmoor.internal.engine.EngineLoad;
import org.aspenmoor.internal.engine.EngineOrder;
import org.aspenmoor.internal.engine.EngineRefusedOrderException;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.engine.EngineStatus;
import org.aspenmoor.internal.engine.EngineUnreachableException;
import org.aspenmoor.internal.engine.FencedOrder;
import org.aspenmoor.internal.engine.OrderState;

/** The control interface of the backend server over HTTP. */
final class HttpEngineControl implements EngineControl {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int CONFLICT = 409;

    private final BackendClients clients;
    private final URI backend;

    HttpEngineControl(BackendClients clients, URI backend) {
        this.clients = clients;
        this.backend = backend;
    }

    @Override
    public EngineStatus status() throws EngineUnreachableException {
        HttpRequest request = HttpRequest.newBuilder(backend.resolve("/control/status"))
                .timeout(TIMEOUT)
                .build();
        HttpResponse<String> answer = send(request);
        if (answer.statusCode() != OK) {
            throw unreachable("answered the status request with status " + answer.statusCode());
        }
        try {
            return readStatus(MAPPER.readTree(answer.body()));
        } catch (IOException | IllegalArgumentException malformed) {
            throw unreachable("sent a malformed status: " + malformed.getMessage());
        }
    }

    @Override
    public void order(FencedOrder order) throws EngineRefusedOrderException, EngineUnreachableException {
        HttpRequest request = HttpRequest.newBuilder(backend.resolve("/control/orders"))
                .timeout(TIMEOUT)
                .header("Content-Type", "application/json")
                .POST(BodyPublishers.ofString(writeOrder(order)))
                .build();
        HttpResponse<String> answer = send(request);
        if (answer.statusCode() == CONFLICT) {
            throw new EngineRefusedOrderException(
                    "The engine refused order " + order.orderId() + ": " + answer.body() + ".",
                    backend.toString(),
                    "Read the role plan again; another holder may have a higher term.");
        }
        if (answer.statusCode() != ACCEPTED) {
            throw unreachable("answered an order with status " + answer.statusCode());
        }
    }

    private HttpResponse<String> send(HttpRequest request) throws EngineUnreachableException {
        try (HttpClient client = clients.forOneCall()) {
            return client.send(request, BodyHandlers.ofString());
        } catch (IOException | IllegalArgumentException failure) {
            // The client throws an IllegalArgumentException if the length of an answer is not a number.
            throw unreachable("did not answer: " + failure.getMessage());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw unreachable("was not awaited, because the process is stopping");
        }
    }

    private EngineUnreachableException unreachable(String problem) {
        return new EngineUnreachableException(
                "The backend server " + problem + ".", backend.toString(), "Check the log of the backend server.");
    }

    private static EngineStatus readStatus(JsonNode status) {
        JsonNode load = status.path("load");
        Set<String> loaded = new HashSet<>();
        status.path("loaded").forEach(name -> loaded.add(name.asText()));
        return new EngineStatus(
                status.path("incarnation").asText(),
                EngineRole.valueOf(status.path("role").asText("WHOLE").toUpperCase(Locale.ROOT)),
                status.path("ready").asBoolean(true),
                Optional.ofNullable(status.path("lastOrderId").textValue()).filter(id -> !id.isEmpty()),
                OrderState.valueOf(status.path("lastOrderState").asText(OrderState.NEVER_SEEN.name())),
                status.path("highestFencingNumber").asLong(),
                loaded,
                new EngineLoad(
                        load.path("sequence").asLong(),
                        load.path("queuedPrefillTokens").asLong(),
                        load.path("runningSequences").asInt(),
                        load.path("mostSequences").asInt(),
                        load.path("freeCachePieces").asInt(),
                        load.path("allCachePieces").asInt()));
    }

    private static String writeOrder(FencedOrder order) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("orderId", order.orderId());
        body.put("fencingNumber", order.fencingNumber());
        switch (order.order()) {
            case EngineOrder.ChangeRole change ->
                body.put("type", "changeRole").put("role", change.role().name());
            case EngineOrder.LoadModel load ->
                body.put("type", "loadModel").put("model", load.model()).put("version", load.version());
            case EngineOrder.LoadAdapter load ->
                body.put("type", "loadAdapter")
                        .put("model", load.model())
                        .put("adapter", load.adapter())
                        .put("version", load.version());
            case EngineOrder.UnloadAdapter unload ->
                body.put("type", "unloadAdapter").put("model", unload.model()).put("adapter", unload.adapter());
        }
        return body.toString();
    }
}
