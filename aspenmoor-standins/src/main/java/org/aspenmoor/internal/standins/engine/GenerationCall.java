package org.aspenmoor.internal.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.aspenmoor.internal.standins.http.Call;

/**
 * A request of the completions protocol with the engine's extension fields.
 *
 * @param requestId id of the caller's request, from the agent's {@code X-Request-Id} header; empty if missing
 * @param attempt number of the attempt, from the agent's {@code X-Attempt} header; empty if missing
 * @param model the model's name
 * @param adapter the adapter's name; empty if none is requested
 * @param prompt the prompt, or the contents of the chat messages joined by line breaks
 * @param chat whether it is a chat request
 * @param stream whether the answer is streamed
 * @param answerTokens number of tokens of the complete answer
 * @param stoppedByMaximum whether the answer ends because it reaches the caller's maximum
 * @param resumeFrom index of the first token to send
 * @param priority requests with a higher priority are admitted first
 */
record GenerationCall(
        String requestId,
        String attempt,
        String model,
        String adapter,
        String prompt,
        boolean chat,
        boolean stream,
        int answerTokens,
        boolean stoppedByMaximum,
        int resumeFrom,
        double priority) {
    private static final int CHARACTERS_OF_TOKEN = 4;

    static Optional<GenerationCall> read(Call call, ObjectNode body, boolean chat) {
        String[] model = body.path("model").asText().split("@", -1)[0].split(":", -1);
        String prompt = chat ? messages(body) : body.path("prompt").asText();
        if (model[0].isEmpty() || prompt.isEmpty()) {
            return Optional.empty();
        }
        int maxTokens = body.path("max_tokens").asInt(Integer.MAX_VALUE);
        int tokens = DeterministicText.tokens(prompt, maxTokens);
        return Optional.of(new GenerationCall(
                call.header("X-Request-Id").orElse(""),
                call.header("X-Attempt").orElse(""),
                model[0],
                model.length > 1 ? model[1] : "",
                prompt,
                chat,
                body.path("stream").asBoolean(),
                tokens,
                tokens < DeterministicText.unlimitedTokens(prompt),
                body.path("resume").path("tokens").asInt(0),
                body.path("priority").asDouble(0)));
    }

    int promptTokens() {
        return Math.max(1, prompt.length() / CHARACTERS_OF_TOKEN);
    }

    String token(int index) {
        return DeterministicText.token(model, adapter, prompt, index);
    }

    private static String messages(ObjectNode body) {
        StringBuilder joined = new StringBuilder();
        for (JsonNode message : body.path("messages")) {
            if (!joined.isEmpty()) {
                joined.append('\n');
            }
            joined.append(message.path("content").asText());
        }
        return joined.toString();
    }
}
