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

/** One HTTP call to a stand-in. */
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

    /** Returns the parts of the path between the slashes. */
    public List<String> pathParts() {
        return Stream.of(path().split("/", -1)).filter(part -> !part.isEmpty()).toList();
    }

    /** Returns a parameter of the query. */
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

    /** Returns a header of the request. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(exchange.getRequestHeaders().getFirst(name));
    }

    /** Reads the whole body. */
    public String body() throws IOException {
        byte[] bytes = exchange.getRequestBody().readNBytes(MAX_BODY_BYTES);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    /** Answers with JSON. */
    public void respond(int status, JsonNode body) throws IOException {
        byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", JSON_TYPE);
        exchange.sendResponseHeaders(status, bytes.length);
        try (OutputStream output = exchange.getResponseBody()) {
            output.write(bytes);
        }
    }

    /** Answers with an error in JSON. */
    public void respondError(int status, String problem) throws IOException {
        ObjectNode body = Json.object();
        body.put("refused", problem);
        respond(status, body);
    }

    /** Adds a header to the answer; before the answer begins. */
    public void setResponseHeader(String name, String value) {
        exchange.getResponseHeaders().set(name, value);
    }

    /** Begins an answer whose length is not known. */
    public OutputStream beginStream(String contentType) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", contentType);
        exchange.sendResponseHeaders(200, 0);
        return exchange.getResponseBody();
    }

    /** Has the connection closed without another byte; the caller cannot tell what was done. */
    public void dropConnection() {
        dropped = true;
    }

    boolean isDropped() {
        return dropped;
    }
}
