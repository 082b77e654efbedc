package org.aspenmoor.internal.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.aspenmoor.internal.standins.http.Call;

/**
 * A request of the completions protocol with this engine's extension fields.
 *
 * @param requestId the caller's request, as the agent names it
 * @param attempt the attempt, as the agent counts it
 * @param model the model's name
 * @param adapter the adapter's name; empty where none is asked for
 * @param prompt the prompt, or the messages' contents, one a line
 * @param chat whether it came as a chat
 * @param stream whether the answer is streamed
 * @param answerTokens how many tokens the whole answer has
 * @param stoppedByMaximum whether the caller's maximum ends the answer
 * @param resumeFrom the first token to send
 * @param priority greater goes first
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
