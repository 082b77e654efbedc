package org.aspenmoor.internal.standins.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.util.Optional;
import org.aspenmoor.internal.standins.http.Json;

/** The text of a model's answer, collected from a stream or a whole answer. */
final class AnswerText {
    private static final String DATA = "data:";
    private static final String DONE = "[DONE]";

    private final StringBuilder text = new StringBuilder();
    private Optional<String> error = Optional.empty();
    private boolean ended;
    private long firstTokenAt;

    /** Reads a stream to its end. */
    void readStream(BufferedReader reader) throws IOException {
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            if (!line.startsWith(DATA)) {
                continue;
            }
            String data = line.substring(DATA.length()).strip();
            if (data.equals(DONE)) {
                ended = true;
                continue;
            }
            Json.parseObject(data).ifPresentOrElse(this::take, () -> error = Optional.of("An event is no JSON."));
        }
    }

    /** Reads a whole answer. */
    void readWhole(String body) {
        Json.parseObject(body).ifPresentOrElse(this::take, () -> error = Optional.of("The answer is no JSON."));
        ended = true;
    }

    private void take(ObjectNode event) {
        if (event.has("error")) {
            error = Optional.of(event.path("error").toString());
            return;
        }
        JsonNode choice = event.path("choices").path(0);
        if (firstTokenAt == 0) {
            firstTokenAt = System.nanoTime();
        }
        text.append(choice.path("text").asText(""));
        text.append(choice.path("delta").path("content").asText(""));
        text.append(choice.path("message").path("content").asText(""));
    }

    String text() {
        return text.toString();
    }

    /** Says whether the answer has its proper end. */
    boolean ended() {
        return ended;
    }

    Optional<String> error() {
        return error;
    }

    /** Returns the clock at the first token; 0 where none came. */
    long firstTokenAt() {
        return firstTokenAt;
    }
}
