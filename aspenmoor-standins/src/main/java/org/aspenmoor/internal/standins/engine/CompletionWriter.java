package org.aspenmoor.internal.standins.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.aspenmoor.internal.standins.http.Json;

/** Builds the answers of the completions protocol, streamed or complete. */
final class CompletionWriter {
    static final String DONE = "data: [DONE]\n\n";

    private final GenerationCall generation;

    CompletionWriter(GenerationCall generation) {
        this.generation = generation;
    }

    /** Returns one server-sent event of a streamed answer. */
    String streamEvent(String text, Optional<String> finishReason) {
        ObjectNode root = envelope(generation.chat() ? "chat.completion.chunk" : "text_completion");
        ObjectNode choice = root.putArray("choices").addObject().put("index", 0);
        if (generation.chat()) {
            choice.putObject("delta").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", finishReason.orElse(null));
        return "data: " + root + "\n\n";
    }

    /** Returns a complete answer with its token usage. */
    ObjectNode completeAnswer(String text, int tokens) {
        ObjectNode root = envelope(generation.chat() ? "chat.completion" : "text_completion");
        ObjectNode choice = root.putArray("choices").addObject().put("index", 0);
        if (generation.chat()) {
            choice.putObject("message").put("role", "assistant").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", finishReason());
        root.putObject("usage")
                .put("prompt_tokens", generation.promptTokens())
                .put("completion_tokens", tokens)
                .put("total_tokens", generation.promptTokens() + tokens);
        return root;
    }

    String finishReason() {
        return generation.stoppedByMaximum() ? "length" : "stop";
    }

    private ObjectNode envelope(String objectType) {
        ObjectNode root = Json.object();
        root.put("id", "cmpl-" + generation.requestId());
        root.put("object", objectType);
        root.put("created", 0);
        root.put("model", generation.model());
        return root;
    }
}
