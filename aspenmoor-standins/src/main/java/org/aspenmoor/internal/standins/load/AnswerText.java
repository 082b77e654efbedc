package org.aspenmoor.internal.standins.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.util.Optional;
import org.aspenmoor.internal.standins.http.Json;

/** The text of a model's answer, collected from a streamed or a complete answer. */
final class AnswerText {
    private static final String DATA = "data:";
    private static final String DONE = "[DONE]";

    private final StringBuilder text = new StringBuilder();
    private Optional<String> error = Optional.empty();
    private boolean complete;
    private long firstTokenNanos;

    /** Reads a streamed answer to its end. */
    void readStream(BufferedReader reader) throws IOException {
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            if (!line.startsWith(DATA)) {
                continue;
            }
            String data = line.substring(DATA.length()).strip();
            if (data.equals(DONE)) {
                complete = true;
                continue;
            }
            Json.parseObject(data)
                    .ifPresentOrElse(
                            this::append, () -> error = Optional.of("An event of the stream is not a JSON object."));
        }
    }

    /** Reads an answer that is sent in one piece. */
    void readComplete(String body) {
        Json.parseObject(body)
                .ifPresentOrElse(this::append, () -> error = Optional.of("The answer is not a JSON object."));
        complete = true;
    }

    private void append(ObjectNode event) {
        if (event.has("error")) {
            error = Optional.of(event.path("error").toString());
            return;
        }
        JsonNode choice = event.path("choices").path(0);
        if (firstTokenNanos == 0) {
            firstTokenNanos = System.nanoTime();
        }
        text.append(choice.path("text").asText(""));
        text.append(choice.path("delta").path("content").asText(""));
        text.append(choice.path("message").path("content").asText(""));
    }

    String text() {
        return text.toString();
    }

    /** Returns whether the end of the answer was received: the end mark of a stream, or a body in one piece. */
    boolean isComplete() {
        return complete;
    }

    Optional<String> error() {
        return error;
    }

    /** Returns {@link System#nanoTime} at the first token; 0 if there was none. */
    long firstTokenNanos() {
        return firstTokenNanos;
    }
}
