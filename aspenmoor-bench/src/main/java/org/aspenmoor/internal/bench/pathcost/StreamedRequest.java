package org.aspenmoor.internal.bench.pathcost;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** Sends streamed completions and times their first token and their end. */
final class StreamedRequest {
    private static final String DATA = "data:";
    private static final String DONE = "[DONE]";
    private static final int OK = 200;

    private final HttpClient client;
    private final PathCostOptions options;

    StreamedRequest(HttpClient client, PathCostOptions options) {
        this.client = client;
        this.options = options;
    }

    /** Sends one request and records what was seen. */
    void send(Way way, URI base, int number) throws InterruptedException {
        long start = System.nanoTime();
        try {
            HttpResponse<InputStream> response =
                    client.send(request(base, number), HttpResponse.BodyHandlers.ofInputStream());
            if (response.statusCode() != OK) {
                way.failed();
                response.body().close();
                return;
            }
            read(way, response, start);
        } catch (IOException broken) {
            way.failed();
        }
    }

    private static void read(Way way, HttpResponse<InputStream> response, long start) throws IOException {
        long firstToken = 0;
        boolean done = false;
        try (BufferedReader lines =
                new BufferedReader(new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                if (!line.startsWith(DATA)) {
                    continue;
                }
                way.event();
                firstToken = firstToken == 0 ? System.nanoTime() : firstToken;
                done |= line.contains(DONE);
            }
        }
        if (!done) {
            way.failed();
            return;
        }
        way.record(microseconds(start, firstToken), microseconds(start, System.nanoTime()));
    }

    private HttpRequest request(URI base, int number) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("model", options.model());
        body.put("prompt", "Scene " + number + ": rain on a tin roof, a door opens.");
        body.put("max_tokens", options.outputTokens());
        body.put("stream", true);
        return HttpRequest.newBuilder(base.resolve("/v1/completions"))
                .header("Content-Type", "application/json")
                .header("Authorization", "Bearer " + options.token())
                .POST(HttpRequest.BodyPublishers.ofString(body.toString()))
                .build();
    }

    private static long microseconds(long from, long to) {
        return TimeUnit.NANOSECONDS.toMicros(to - from);
    }
}
