package org.aspenmoor.internal.standins.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.aspenmoor.internal.standins.engine.DeterministicText;
import org.aspenmoor.internal.standins.http.Json;

/** Sends a request, retries after refusals as {@code Retry-After} says, and checks the answer. */
final class RequestSender {
    private static final String NOT_RUN = "not-run";
    private static final int FIRST_ERROR_STATUS = 300;
    private static final int FIRST_SERVER_ERROR_STATUS = 500;
    private static final double MIN_WAIT_SECONDS = 0.05;
    private static final double MAX_WAIT_SECONDS = 3;
    private static final int MILLISECONDS_PER_SECOND = 1000;

    private final HttpClient client;
    private final List<URI> entries;
    private final String token;
    private final int maxAttempts;
    private final Duration timeout;
    private final AtomicInteger next = new AtomicInteger();

    RequestSender(HttpClient client, List<URI> entries, String token, int maxAttempts, Duration timeout) {
        this.client = client;
        this.entries = entries;
        this.token = token;
        this.maxAttempts = maxAttempts;
        this.timeout = timeout;
    }

    /** Sends a request until an attempt is not refused, a refusal has no retry time, or the attempts are used up. */
    RequestResult send(PlannedRequest planned) throws InterruptedException {
        for (int refusals = 0; ; refusals++) {
            AttemptResult attempt = sendOnce(planned);
            if (attempt.end() != RequestEnd.REFUSED
                    || refusals + 1 >= maxAttempts
                    || attempt.retryAfter().isEmpty()) {
                int refusalCount = attempt.end() == RequestEnd.REFUSED ? refusals + 1 : refusals;
                return new RequestResult(
                        planned,
                        attempt.end(),
                        attempt.detail(),
                        attempt.recordId(),
                        refusalCount,
                        attempt.firstTokenNanoseconds(),
                        attempt.totalNanoseconds());
            }
            TimeUnit.MILLISECONDS.sleep(attempt.retryAfter().get().toMillis());
        }
    }

    private AttemptResult sendOnce(PlannedRequest planned) throws InterruptedException {
        long start = System.nanoTime();
        try {
            HttpResponse<InputStream> response =
                    client.send(request(planned), HttpResponse.BodyHandlers.ofInputStream());
            try (InputStream body = response.body()) {
                if (response.statusCode() >= FIRST_ERROR_STATUS) {
                    return refusal(response, body, start);
                }
                return check(planned, body, start);
            }
        } catch (ConnectException unreachable) {
            Optional<Duration> wait = Optional.of(boundedWait(1));
            return new AttemptResult(
                    RequestEnd.REFUSED, "Cannot connect to the entry.", wait, 0, System.nanoTime() - start);
        } catch (IOException connectionBroken) {
            return new AttemptResult(
                    RequestEnd.UNKNOWN,
                    "The connection broke: " + connectionBroken,
                    Optional.empty(),
                    0,
                    System.nanoTime() - start);
        }
    }

    private HttpRequest request(PlannedRequest planned) {
        URI entry = entries.get(Math.floorMod(next.getAndIncrement(), entries.size()));
        HttpRequest.Builder builder = HttpRequest.newBuilder()
                .timeout(timeout)
                .header("Authorization", "Bearer " + token)
                .header("Content-Type", "application/json");
        return switch (planned) {
            case PlannedRequest.Completion completion ->
                builder.uri(entry.resolve(completion.chat() ? "/v1/chat/completions" : "/v1/completions"))
                        .POST(HttpRequest.BodyPublishers.ofString(completionBody(completion)))
                        .build();
            case PlannedRequest.Creation creation -> creationRequest(builder, entry, creation);
            case PlannedRequest.Repetition repetition -> creationRequest(builder, entry, repetition.original());
            case PlannedRequest.StatusRead read ->
                builder.uri(entry.resolve("/services/" + read.service() + read.path()))
                        .GET()
                        .build();
        };
    }

    private static HttpRequest creationRequest(
            HttpRequest.Builder builder, URI entry, PlannedRequest.Creation creation) {
        creation.idempotencyKey().ifPresent(key -> builder.header("Idempotency-Key", key));
        return builder.uri(entry.resolve("/services/" + creation.service() + creation.path()))
                .POST(HttpRequest.BodyPublishers.ofString(creation.body()))
                .build();
    }

    private static String completionBody(PlannedRequest.Completion completion) {
        ObjectNode root = Json.object();
        root.put(
                "model",
                completion.adapter().isEmpty() ? completion.model() : completion.model() + ":" + completion.adapter());
        if (completion.chat()) {
            root.putArray("messages").addObject().put("role", "user").put("content", completion.prompt());
        } else {
            root.put("prompt", completion.prompt());
        }
        root.put("max_tokens", completion.maxTokens());
        root.put("stream", completion.streamed());
        return root.toString();
    }

    // The body of a refusal contains the outcome; a server error without one is treated as unknown.
    private static AttemptResult refusal(HttpResponse<InputStream> response, InputStream body, long start)
            throws IOException {
        String text = new String(body.readAllBytes(), StandardCharsets.UTF_8);
        String outcome = Json.parseObject(text)
                .map(root -> root.path("error").path("outcome").asText())
                .orElse("");
        boolean notRun =
                outcome.isEmpty() ? response.statusCode() < FIRST_SERVER_ERROR_STATUS : outcome.equals(NOT_RUN);
        Optional<Duration> wait = response.headers().firstValue("Retry-After").map(RequestSender::parseRetryAfter);
        String detail = "status " + response.statusCode() + ": " + text;
        RequestEnd end = notRun ? RequestEnd.REFUSED : RequestEnd.UNKNOWN;
        return new AttemptResult(end, detail, wait, 0, System.nanoTime() - start);
    }

    private static Duration parseRetryAfter(String header) {
        try {
            return boundedWait(Double.parseDouble(header));
        } catch (NumberFormatException notSeconds) {
            return boundedWait(1);
        }
    }

    private static Duration boundedWait(double seconds) {
        double bounded = Math.clamp(seconds, MIN_WAIT_SECONDS, MAX_WAIT_SECONDS);
        return Duration.ofMillis(Math.round(bounded * MILLISECONDS_PER_SECOND));
    }

    private static AttemptResult check(PlannedRequest planned, InputStream body, long start) throws IOException {
        return switch (planned) {
            case PlannedRequest.Completion completion -> checkCompletion(completion, body, start);
            case PlannedRequest.Creation creation -> checkCreation(creation, body, start);
            case PlannedRequest.Repetition repetition -> checkCreation(repetition.original(), body, start);
            case PlannedRequest.StatusRead read -> checkField(body, "id", read.marker(), start);
        };
    }

    private static AttemptResult checkCompletion(PlannedRequest.Completion completion, InputStream body, long start)
            throws IOException {
        AnswerText answer = new AnswerText();
        Optional<String> cut = readCompletion(completion, body, answer);
        long totalNanoseconds = System.nanoTime() - start;
        long firstTokenNanoseconds = answer.firstTokenNanos() == 0 ? 0 : answer.firstTokenNanos() - start;
        if (cut.isPresent()) {
            return new AttemptResult(
                    RequestEnd.CUT, cut.get(), Optional.empty(), firstTokenNanoseconds, totalNanoseconds);
        }
        int tokens = DeterministicText.tokens(completion.prompt(), completion.maxTokens());
        String expected =
                DeterministicText.text(completion.model(), completion.adapter(), completion.prompt(), 0, tokens);
        if (!answer.text().equals(expected)) {
            String detail = "The text has " + answer.text().length() + " characters and differs from the expected "
                    + expected.length() + " characters.";
            return new AttemptResult(
                    RequestEnd.BROKEN, detail, Optional.empty(), firstTokenNanoseconds, totalNanoseconds);
        }
        return new AttemptResult(RequestEnd.ANSWERED, "", Optional.empty(), firstTokenNanoseconds, totalNanoseconds);
    }

    /** Reads a completion; returns the reason if the caller can detect that it was cut off. */
    private static Optional<String> readCompletion(
            PlannedRequest.Completion completion, InputStream body, AnswerText answer) {
        try {
            if (completion.streamed()) {
                answer.readStream(new BufferedReader(new InputStreamReader(body, StandardCharsets.UTF_8)));
            } else {
                answer.readComplete(new String(body.readAllBytes(), StandardCharsets.UTF_8));
            }
        } catch (IOException connectionBroken) {
            return Optional.of("The connection broke during the answer: " + connectionBroken);
        }
        if (answer.error().isPresent()) {
            return answer.error();
        }
        return answer.isComplete() ? Optional.empty() : Optional.of("The stream ended without its end mark.");
    }

    private static AttemptResult checkCreation(PlannedRequest.Creation creation, InputStream body, long start)
            throws IOException {
        return checkField(body, "bodyHash", Integer.toHexString(creation.body().hashCode()), start);
    }

    private static AttemptResult checkField(InputStream body, String field, String expected, long start)
            throws IOException {
        String text = new String(body.readAllBytes(), StandardCharsets.UTF_8);
        long totalNanoseconds = System.nanoTime() - start;
        ObjectNode answer = Json.parseObject(text).orElseGet(Json::object);
        if (!answer.path(field).asText().equals(expected)) {
            return new AttemptResult(
                    RequestEnd.BROKEN,
                    "The answer does not match the request: " + text,
                    Optional.empty(),
                    0,
                    totalNanoseconds);
        }
        return new AttemptResult(
                RequestEnd.ANSWERED, "", answer.path("id").asText(), Optional.empty(), 0, totalNanoseconds);
    }

    private record AttemptResult(
            RequestEnd end,
            String detail,
            String recordId,
            Optional<Duration> retryAfter,
            long firstTokenNanoseconds,
            long totalNanoseconds) {
        AttemptResult(
                RequestEnd end,
                String detail,
                Optional<Duration> retryAfter,
                long firstTokenNanoseconds,
                long totalNanoseconds) {
            this(end, detail, "", retryAfter, firstTokenNanoseconds, totalNanoseconds);
        }
    }
}
