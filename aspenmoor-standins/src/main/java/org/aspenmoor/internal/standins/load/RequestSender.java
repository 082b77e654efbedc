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

/** Sends one request, comes back after refusals as it is told to, and checks the answer. */
final class RequestSender {
    private static final String NOT_RUN = "not-run";
    private static final int FIRST_ERROR = 300;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final double LEAST_WAIT_SECONDS = 0.05;
    private static final double MOST_WAIT_SECONDS = 3;
    private static final int MILLISECONDS_OF_SECOND = 1000;

    private final HttpClient client;
    private final List<URI> entries;
    private final String token;
    private final int mostTries;
    private final Duration timeout;
    private final AtomicInteger next = new AtomicInteger();

    RequestSender(HttpClient client, List<URI> entries, String token, int mostTries, Duration timeout) {
        this.client = client;
        this.entries = entries;
        this.token = token;
        this.mostTries = mostTries;
        this.timeout = timeout;
    }

    /** Sends a request until it is answered, unknown, or refused too often. */
    RequestResult send(PlannedRequest planned) throws InterruptedException {
        for (int refusals = 0; ; refusals++) {
            Try last = tryOnce(planned);
            if (last.ending() != Ending.REFUSED
                    || refusals + 1 >= mostTries
                    || last.comeBackAfter().isEmpty()) {
                int counted = last.ending() == Ending.REFUSED ? refusals + 1 : refusals;
                return new RequestResult(
                        planned,
                        last.ending(),
                        last.detail(),
                        last.entryId(),
                        counted,
                        last.firstToken(),
                        last.whole());
            }
            TimeUnit.MILLISECONDS.sleep(last.comeBackAfter().get().toMillis());
        }
    }

    private Try tryOnce(PlannedRequest planned) throws InterruptedException {
        long start = System.nanoTime();
        try {
            HttpResponse<InputStream> response =
                    client.send(request(planned), HttpResponse.BodyHandlers.ofInputStream());
            try (InputStream body = response.body()) {
                if (response.statusCode() >= FIRST_ERROR) {
                    return refusal(response, body, start);
                }
                return check(planned, body, start);
            }
        } catch (ConnectException nobodyThere) {
            Optional<Duration> wait = Optional.of(seconds(1));
            return new Try(Ending.REFUSED, "The entry cannot be reached.", wait, 0, System.nanoTime() - start);
        } catch (IOException lost) {
            return new Try(
                    Ending.UNKNOWN, "The connection broke: " + lost, Optional.empty(), 0, System.nanoTime() - start);
        }
    }

    private HttpRequest request(PlannedRequest planned) {
        URI entry = entries.get(Math.floorMod(next.getAndIncrement(), entries.size()));
        HttpRequest.Builder builder = HttpRequest.newBuilder()
                .timeout(timeout)
                .header("Authorization", "Bearer " + token)
                .header("Content-Type", "application/json");
        return switch (planned) {
            case PlannedRequest.Draft draft ->
                builder.uri(entry.resolve(draft.chat() ? "/v1/chat/completions" : "/v1/completions"))
                        .POST(HttpRequest.BodyPublishers.ofString(draftBody(draft)))
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

    private static String draftBody(PlannedRequest.Draft draft) {
        ObjectNode root = Json.object();
        root.put("model", draft.adapter().isEmpty() ? draft.model() : draft.model() + ":" + draft.adapter());
        if (draft.chat()) {
            root.putArray("messages").addObject().put("role", "user").put("content", draft.prompt());
        } else {
            root.put("prompt", draft.prompt());
        }
        root.put("max_tokens", draft.maximum());
        root.put("stream", draft.streamed());
        return root.toString();
    }

    // A refusal names itself in the body; a server error that does not is taken for unknown.
    private static Try refusal(HttpResponse<InputStream> response, InputStream body, long start) throws IOException {
        String text = new String(body.readAllBytes(), StandardCharsets.UTF_8);
        String outcome = Json.parseObject(text)
                .map(root -> root.path("error").path("outcome").asText())
                .orElse("");
        boolean notRun = outcome.isEmpty() ? response.statusCode() < FIRST_SERVER_ERROR : outcome.equals(NOT_RUN);
        Optional<Duration> wait = response.headers().firstValue("Retry-After").map(RequestSender::waitOf);
        String detail = "status " + response.statusCode() + ": " + text;
        Ending ending = notRun ? Ending.REFUSED : Ending.UNKNOWN;
        return new Try(ending, detail, wait, 0, System.nanoTime() - start);
    }

    private static Duration waitOf(String header) {
        try {
            return seconds(Double.parseDouble(header));
        } catch (NumberFormatException date) {
            return seconds(1);
        }
    }

    private static Duration seconds(double seconds) {
        double bounded = Math.clamp(seconds, LEAST_WAIT_SECONDS, MOST_WAIT_SECONDS);
        return Duration.ofMillis(Math.round(bounded * MILLISECONDS_OF_SECOND));
    }

    private static Try check(PlannedRequest planned, InputStream body, long start) throws IOException {
        return switch (planned) {
            case PlannedRequest.Draft draft -> checkDraft(draft, body, start);
            case PlannedRequest.Creation creation -> checkCreation(creation, body, start);
            case PlannedRequest.Repetition repetition -> checkCreation(repetition.original(), body, start);
            case PlannedRequest.StatusRead read -> checkField(body, "id", read.mark(), start);
        };
    }

    private static Try checkDraft(PlannedRequest.Draft draft, InputStream body, long start) throws IOException {
        AnswerText answer = new AnswerText();
        Optional<String> cut = readDraft(draft, body, answer);
        long whole = System.nanoTime() - start;
        long first = answer.firstTokenAt() == 0 ? 0 : answer.firstTokenAt() - start;
        if (cut.isPresent()) {
            return new Try(Ending.CUT, cut.get(), Optional.empty(), first, whole);
        }
        int tokens = DeterministicText.tokens(draft.prompt(), draft.maximum());
        String expected = DeterministicText.text(draft.model(), draft.adapter(), draft.prompt(), 0, tokens);
        if (!answer.text().equals(expected)) {
            String detail = "The text has " + answer.text().length() + " characters instead of " + expected.length()
                    + ", or others.";
            return new Try(Ending.BROKEN, detail, Optional.empty(), first, whole);
        }
        return new Try(Ending.ANSWERED, "", Optional.empty(), first, whole);
    }

    /** Reads a draft; returns how its caller can tell that it was cut, if it was. */
    private static Optional<String> readDraft(PlannedRequest.Draft draft, InputStream body, AnswerText answer) {
        try {
            if (draft.streamed()) {
                answer.readStream(new BufferedReader(new InputStreamReader(body, StandardCharsets.UTF_8)));
            } else {
                answer.readWhole(new String(body.readAllBytes(), StandardCharsets.UTF_8));
            }
        } catch (IOException lost) {
            return Optional.of("The connection broke in the middle: " + lost);
        }
        if (answer.error().isPresent()) {
            return answer.error();
        }
        return answer.ended() ? Optional.empty() : Optional.of("The stream has no end mark.");
    }

    private static Try checkCreation(PlannedRequest.Creation creation, InputStream body, long start)
            throws IOException {
        return checkField(body, "bodyHash", Integer.toHexString(creation.body().hashCode()), start);
    }

    private static Try checkField(InputStream body, String field, String expected, long start) throws IOException {
        String text = new String(body.readAllBytes(), StandardCharsets.UTF_8);
        long whole = System.nanoTime() - start;
        ObjectNode answer = Json.parseObject(text).orElseGet(Json::object);
        if (!answer.path(field).asText().equals(expected)) {
            return new Try(Ending.BROKEN, "The answer is not ours: " + text, Optional.empty(), 0, whole);
        }
        return new Try(Ending.ANSWERED, "", answer.path("id").asText(), Optional.empty(), 0, whole);
    }

    private record Try(
            Ending ending,
            String detail,
            String entryId,
            Optional<Duration> comeBackAfter,
            long firstToken,
            long whole) {
        Try(Ending ending, String detail, Optional<Duration> comeBackAfter, long firstToken, long whole) {
            this(ending, detail, "", comeBackAfter, firstToken, whole);
        }
    }
}
