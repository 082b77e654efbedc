package org.aspenmoor.internal.http;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.entry.CompletionRequest;

/** Formats answers in the completions protocol, as one JSON body or as server-sent events. */
final class CompletionFormatter {
    private static final String END_MARKER = "data: [DONE]\n\n";

    private final RequestId id;
    private final CompletionRequest request;
    private final long createdSeconds;

    CompletionFormatter(RequestId id, CompletionRequest request, long createdSeconds) {
        this.id = id;
        this.request = request;
        this.createdSeconds = createdSeconds;
    }

    String chunkEvent(String text) {
        ObjectNode event = newBody(true);
        ObjectNode choice = addChoice(event);
        if (request.chat()) {
            choice.putObject("delta").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.putNull("finish_reason");
        return toEvent(event);
    }

    String endEvent(String finishReason, int promptTokens, int outputTokens) {
        ObjectNode event = newBody(true);
        ObjectNode choice = addChoice(event);
        if (request.chat()) {
            choice.putObject("delta");
        } else {
            choice.put("text", "");
        }
        choice.put("finish_reason", finishReason.isEmpty() ? "stop" : finishReason);
        addUsage(event, promptTokens, outputTokens);
        return toEvent(event) + END_MARKER;
    }

    String errorEvent(String detail) {
        ObjectNode event = JsonNodeFactory.instance.objectNode();
        event.set("error", ErrorBodies.unknown(detail).get("error"));
        return toEvent(event);
    }

    String completeAnswer(AnswerStart.CompleteText answer) {
        ObjectNode body = newBody(false);
        ObjectNode choice = addChoice(body);
        if (request.chat()) {
            choice.putObject("message").put("role", "assistant").put("content", answer.text());
        } else {
            choice.put("text", answer.text());
        }
        choice.put("finish_reason", answer.finishReason().isEmpty() ? "stop" : answer.finishReason());
        addUsage(body, answer.promptTokens(), answer.outputTokens());
        return body.toString();
    }

    private ObjectNode newBody(boolean chunk) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("id", (request.chat() ? "chatcmpl-" : "cmpl-") + id);
        body.put("object", objectName(chunk));
        body.put("created", createdSeconds);
        body.put("model", request.model());
        return body;
    }

    private String objectName(boolean chunk) {
        if (!request.chat()) {
            return "text_completion";
        }
        return chunk ? "chat.completion.chunk" : "chat.completion";
    }

    private static ObjectNode addChoice(ObjectNode parent) {
        ObjectNode choice = parent.putArray("choices").addObject();
        choice.put("index", 0);
        choice.putNull("logprobs");
        return choice;
    }

    private static void addUsage(ObjectNode parent, int promptTokens, int outputTokens) {
        parent.putObject("usage")
                .put("prompt_tokens", promptTokens)
                .put("completion_tokens", outputTokens)
                .put("total_tokens", promptTokens + outputTokens);
    }

    private static String toEvent(ObjectNode event) {
        return "data: " + event + "\n\n";
    }
}
