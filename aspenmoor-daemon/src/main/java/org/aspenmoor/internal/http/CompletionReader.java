package org.aspenmoor.internal.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;
import org.aspenmoor.internal.entry.CompletionRequest;
import org.aspenmoor.internal.entry.PromptPrefix;
import org.aspenmoor.internal.finding.Findings;
import org.aspenmoor.internal.finding.SourceLocation;

/** Parses a completion request and reports every invalid field. */
final class CompletionReader {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    // Only for the estimate of the prompt's length.
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final String SOURCE = "request body";

    private final Findings findings;

    CompletionReader(Findings findings) {
        this.findings = findings;
    }

    Optional<CompletionRequest> read(byte[] body, boolean chat) {
        JsonNode root;
        try {
            root = MAPPER.readTree(body);
        } catch (JsonProcessingException malformed) {
            addFinding(
                    "", "The body is not valid JSON: " + malformed.getOriginalMessage() + ".", "Correct the syntax.");
            return Optional.empty();
        } catch (IOException unreadable) {
            addFinding("", "The body cannot be read.", "Send the request again.");
            return Optional.empty();
        }
        if (root == null || !root.isObject()) {
            addFinding(
                    "",
                    "The body is not a JSON object.",
                    "Send an object with \"model\" and \"prompt\" or \"messages\".");
            return Optional.empty();
        }
        CompletionRequest request = readFields(root, chat, body);
        return findings.isEmpty() ? Optional.of(request) : Optional.empty();
    }

    private CompletionRequest readFields(JsonNode root, boolean chat, byte[] body) {
        String name = readModel(root.path("model"));
        int colon = name.indexOf(':');
        String model = colon < 0 ? name : name.substring(0, colon);
        Optional<String> adapter = colon < 0 ? Optional.empty() : Optional.of(name.substring(colon + 1));
        String prompt = chat ? readMessages(root.path("messages")) : readPrompt(root.path("prompt"));
        rejectMultipleChoices(root.path("n"));
        return new CompletionRequest(
                model,
                adapter,
                chat,
                readStream(root.path("stream")),
                readMaxTokens(root.path("max_tokens")),
                Math.max(1, prompt.length() / CHARACTERS_PER_TOKEN),
                PromptPrefix.of(prompt),
                body);
    }

    private String readModel(JsonNode model) {
        if (!model.isTextual() || model.textValue().isBlank()) {
            addFinding(
                    "model",
                    "The model is missing or not a string.",
                    "Send the name of a model that GET /v1/models lists.");
            return "";
        }
        return model.textValue();
    }

    private String readPrompt(JsonNode prompt) {
        if (!prompt.isTextual()) {
            addFinding(
                    "prompt",
                    "The prompt is missing or not a string.",
                    "Send one string; lists of prompts are not supported.");
            return "";
        }
        return prompt.textValue();
    }

    private String readMessages(JsonNode messages) {
        if (!messages.isArray() || messages.isEmpty()) {
            addFinding(
                    "messages", "The messages are missing.", "Send an array of objects with \"role\" and \"content\".");
            return "";
        }
        StringBuilder prompt = new StringBuilder();
        for (int index = 0; index < messages.size(); index++) {
            JsonNode message = messages.get(index);
            if (!message.path("role").isTextual()) {
                addFinding(
                        "messages[" + index + "].role",
                        "The role is missing or not a string.",
                        "Send \"system\", \"user\" or \"assistant\".");
            }
            prompt.append(message.path("content"));
        }
        return prompt.toString();
    }

    private boolean readStream(JsonNode stream) {
        if (stream.isMissingNode() || stream.isNull()) {
            return false;
        }
        if (!stream.isBoolean()) {
            addFinding("stream", "The value is not a boolean.", "Send true or false.");
        }
        return stream.asBoolean();
    }

    private Optional<Integer> readMaxTokens(JsonNode maxTokens) {
        if (maxTokens.isMissingNode() || maxTokens.isNull()) {
            return Optional.empty();
        }
        if (!maxTokens.isInt() || maxTokens.intValue() < 1) {
            addFinding("max_tokens", "The value is not a positive integer.", "Send a number such as 128.");
            return Optional.empty();
        }
        return Optional.of(maxTokens.intValue());
    }

    private void rejectMultipleChoices(JsonNode count) {
        if (count.isNumber() && count.intValue() != 1) {
            addFinding("n", "Only one choice per request is supported.", "Omit \"n\" or send several requests.");
        }
    }

    private void addFinding(String path, String problem, String remedy) {
        findings.add(new SourceLocation(SOURCE, 0, 0, path), problem, remedy);
    }
}
