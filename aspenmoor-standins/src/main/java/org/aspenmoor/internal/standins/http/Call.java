package org.aspenmoor.internal.standins.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/** An HTTP request to a stand-in and its response. */
public final class Call {
    private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;
    private static final String JSON_TYPE = "application/json";

    private final HttpExchange exchange;
    private boolean dropped;

    Call(HttpExchange exchange) {
        this.exchange = exchange;
    }

    /** Returns the HTTP method. */
    public String method() {
        return exchange.getRequestMethod();
    }

    /** Returns the decoded path. */
    public String path() {
        return exchange.getRequestURI().getPath();
    }

    /** Returns the non-empty segments of the path. */
    public List<String> pathParts() {
        return Stream.of(path().split("/", -1)).filter(part -> !part.isEmpty()).toList();
    }

    /** Returns the decoded value of a query parameter; empty if it is missing. */
    public Optional<String> queryParameter(String name) {
        String query = exchange.getRequestURI().getRawQuery();
        if (query == null) {
            return Optional.empty();
        }
        String prefix = name + "=";
        return Stream.of(query.split("&", -1))
                .filter(part -> part.startsWith(prefix))
                .map(part -> URLDecoder.decode(part.substring(prefix.length()), StandardCharsets.UTF_8))
                .findFirst();
    }

    /** Returns a header of the request; empty if it is missing. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(exchange.getRequestHeaders().getFirst(name));
    }

    /** Reads the body, up to 8 MiB. */
    public String body() throws IOException {
        byte[] bytes = exchange.getRequestBody().readNBytes(MAX_BODY_BYTES);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    /** Sends a JSON response. */
    public void respond(int status, JsonNode body) throws IOException {
        byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", JSON_TYPE);
        exchange.sendResponseHeaders(status, bytes.length);
        try (OutputStream output = exchange.getResponseBody()) {
            output.write(bytes);
        }
    }

    /** Sends a JSON response with the error message in the field {@code refused}. */
    public void respondError(int status, String problem) throws IOException {
        ObjectNode body = Json.object();
        body.put("refused", problem);
        respond(status, body);
    }

    /** Sets a response header; must be called before the response is started. */
    public void setResponseHeader(String name, String value) {
        exchange.getResponseHeaders().set(name, value);
    }

    /** Starts a response of unknown length with status 200. */
    public OutputStream beginStream(String contentType) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", contentType);
        exchange.sendResponseHeaders(200, 0);
        return exchange.getResponseBody();
    }

    /** Closes the connection without sending anything more, so the caller cannot know whether the call took effect. */
    public void dropConnection() {
        dropped = true;
    }

    boolean isDropped() {
        return dropped;
    }
}
