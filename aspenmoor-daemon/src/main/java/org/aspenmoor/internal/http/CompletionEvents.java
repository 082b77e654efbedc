package org.aspenmoor.internal.http;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.entry.CompletionRequest;

/** Writes answers in the completions protocol, whole and as server-sent events. */
final class CompletionEvents {
    private static final String END_MARK = "data: [DONE]\n\n";

    private final RequestId id;
    private final CompletionRequest request;
    private final long createdSeconds;

    CompletionEvents(RequestId id, CompletionRequest request, long createdSeconds) {
        this.id = id;
        this.request = request;
        this.createdSeconds = createdSeconds;
    }

    String piece(String text) {
        ObjectNode event = head(true);
        ObjectNode choice = choice(event);
        if (request.chat()) {
            choice.putObject("delta").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.putNull("finish_reason");
        return event(event);
    }

    String end(String finishReason, int promptTokens, int outputTokens) {
        ObjectNode event = head(true);
        ObjectNode choice = choice(event);
        if (request.chat()) {
            choice.putObject("delta");
        } else {
            choice.put("text", "");
        }
        choice.put("finish_reason", finishReason.isEmpty() ? "stop" : finishReason);
        usage(event, promptTokens, outputTokens);
        return event(event) + END_MARK;
    }

    String error(String detail) {
        ObjectNode event = JsonNodeFactory.instance.objectNode();
        event.set("error", ErrorBodies.unknown(detail).get("error"));
        return event(event);
    }

    String whole(FirstSignal.WholeText answer) {
        ObjectNode body = head(false);
        ObjectNode choice = choice(body);
        if (request.chat()) {
            choice.putObject("message").put("role", "assistant").put("content", answer.text());
        } else {
            choice.put("text", answer.text());
        }
        choice.put("finish_reason", answer.finishReason().isEmpty() ? "stop" : answer.finishReason());
        usage(body, answer.promptTokens(), answer.outputTokens());
        return body.toString();
    }

    private ObjectNode head(boolean piece) {
        ObjectNode head = JsonNodeFactory.instance.objectNode();
        head.put("id", (request.chat() ? "chatcmpl-" : "cmpl-") + id);
        head.put("object", objectName(piece));
        head.put("created", createdSeconds);
        head.put("model", request.model());
        return head;
    }

    private String objectName(boolean piece) {
        if (!request.chat()) {
            return "text_completion";
        }
        return piece ? "chat.completion.chunk" : "chat.completion";
    }

    private static ObjectNode choice(ObjectNode parent) {
        ObjectNode choice = parent.putArray("choices").addObject();
        choice.put("index", 0);
        choice.putNull("logprobs");
        return choice;
    }

    private static void usage(ObjectNode parent, int promptTokens, int outputTokens) {
        parent.putObject("usage")
                .put("prompt_tokens", promptTokens)
                .put("completion_tokens", outputTokens)
                .put("total_tokens", promptTokens + outputTokens);
    }

    private static String event(ObjectNode event) {
        return "data: " + event + "\n\n";
    }
}
