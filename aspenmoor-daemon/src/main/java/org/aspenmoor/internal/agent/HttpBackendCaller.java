package org.aspenmoor.internal.agent;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.util.Locale;
import java.util.Set;
import org.aspenmoor.internal.duty.Worker;
import org.aspenmoor.internal.wire.v1.Dispatch;
import org.aspenmoor.internal.wire.v1.Generation;
import org.aspenmoor.internal.wire.v1.Header;
import org.aspenmoor.internal.wire.v1.PlainCall;

/**
 * Calls the backend server over HTTP, with the completions protocol for engines and pass-through for plain services.
 */
final class HttpBackendCaller implements BackendCaller {
    /** Carries the request id to the backend server, so that its log can be correlated with those of this system. */
    static final String REQUEST_ID_HEADER = "X-Request-Id";

    /** Carries the attempt number to the backend server. */
    static final String ATTEMPT_HEADER = "X-Attempt";

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Set<String> NOT_FORWARDED = Set.of(
            "host",
            "connection",
            "content-length",
            "transfer-encoding",
            "expect",
            "upgrade",
            "authorization",
            "keep-alive");

    private final BackendClients clients;
    private final URI backend;
    private final Worker<AgentMessage> eventLoop;

    HttpBackendCaller(BackendClients clients, URI backend, Worker<AgentMessage> eventLoop) {
        this.clients = clients;
        this.backend = backend;
        this.eventLoop = eventLoop;
    }

    @Override
    public BackendCall start(AttemptKey key, Dispatch dispatch) {
        return switch (dispatch.getWorkCase()) {
            case GENERATION -> startGeneration(key, dispatch.getGeneration(), dispatch.getWeight());
            case PLAIN_CALL -> startPlainCall(key, dispatch.getPlainCall());
            case WORK_NOT_SET -> rejectEmptyDispatch(key);
        };
    }

    private BackendCall startGeneration(AttemptKey key, Generation generation, double weight) {
        HttpBackendCall call = new HttpBackendCall(key, eventLoop, new EventStreamDecoder(), true);
        try {
            String path = generation.getChat() ? "/v1/chat/completions" : "/v1/completions";
            HttpRequest request = requestBuilder(key, path)
                    .header("Content-Type", "application/json")
                    .POST(BodyPublishers.ofByteArray(engineRequestBody(generation, weight)))
                    .build();
            call.start(clients.forOneCall(), request);
        } catch (IOException malformed) {
            eventLoop.put(new AgentMessage.AnswerEnded(
                    key, new CallEnd.NeverStarted("the JSON of the request is malformed: " + malformed.getMessage())));
        }
        return call;
    }

    private BackendCall startPlainCall(AttemptKey key, PlainCall plain) {
        HttpBackendCall call = new HttpBackendCall(key, eventLoop, new PlainAnswerDecoder(), false);
        HttpRequest.Builder request = requestBuilder(key, plain.getPath());
        for (Header header : plain.getHeadersList()) {
            if (!NOT_FORWARDED.contains(header.getName().toLowerCase(Locale.ROOT))) {
                request.header(header.getName(), header.getValue());
            }
        }
        byte[] body = plain.getBody().toByteArray();
        request.method(
                plain.getMethod(), body.length == 0 ? BodyPublishers.noBody() : BodyPublishers.ofByteArray(body));
        call.start(clients.forOneCall(), request.build());
        return call;
    }

    private BackendCall rejectEmptyDispatch(AttemptKey key) {
        HttpBackendCall call = new HttpBackendCall(key, eventLoop, new PlainAnswerDecoder(), false);
        eventLoop.put(new AgentMessage.AnswerEnded(
                key, new CallEnd.NeverStarted("the dispatch contains neither a generation nor a plain call")));
        return call;
    }

    private HttpRequest.Builder requestBuilder(AttemptKey key, String path) {
        return HttpRequest.newBuilder(backend.resolve(path))
                .header(REQUEST_ID_HEADER, key.request().toString())
                .header(ATTEMPT_HEADER, String.valueOf(key.attempt()));
    }

    private static byte[] engineRequestBody(Generation generation, double weight) throws IOException {
        JsonNode parsed = MAPPER.readTree(generation.getRequest().toByteArray());
        if (!(parsed instanceof ObjectNode request)) {
            throw new IOException("expected a JSON object");
        }
        request.put("stream", true);
        request.put("priority", weight);
        request.put("max_tokens", generation.getMostTokens());
        if (generation.getDeliveredTokens() > 0) {
            request.putObject("resume")
                    .put("tokens", generation.getDeliveredTokens())
                    .put("text", generation.getDeliveredText());
        }
        return write(request);
    }

    private static byte[] write(ObjectNode request) throws JsonProcessingException {
        return MAPPER.writeValueAsBytes(request);
    }
}
