package org.aspenmoor.internal.agent;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Decodes the server-sent events of a generation into pieces of text. */
final class EventStreamDecoder implements AnswerDecoder {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String DATA_PREFIX = "data:";
    private static final String END_MARKER = "[DONE]";
    private static final int MAX_LINE_BYTES = 1 << 20;

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private String finishReason = "";
    private boolean ended;

    @Override
    public List<AnswerPiece> decode(List<ByteBuffer> buffers) throws AnswerMalformedException {
        List<AnswerPiece> pieces = new ArrayList<>();
        for (ByteBuffer buffer : buffers) {
            while (buffer.hasRemaining()) {
                decodeByte(buffer.get(), pieces);
            }
        }
        return pieces;
    }

    @Override
    public CallEnd end() {
        if (ended) {
            return new CallEnd.Complete(finishReason);
        }
        return new CallEnd.Failed("the stream of the engine ended without its end marker");
    }

    private void decodeByte(byte next, List<AnswerPiece> pieces) throws AnswerMalformedException {
        if (next != '\n') {
            line.write(next);
            if (line.size() > MAX_LINE_BYTES) {
                throw new AnswerMalformedException(
                        "The engine sent an event line longer than " + MAX_LINE_BYTES + " bytes.");
            }
            return;
        }
        String text = line.toString(StandardCharsets.UTF_8).strip();
        line.reset();
        if (text.startsWith(DATA_PREFIX)) {
            decodeEvent(text.substring(DATA_PREFIX.length()).strip(), pieces);
        }
    }

    private void decodeEvent(String event, List<AnswerPiece> pieces) throws AnswerMalformedException {
        if (event.equals(END_MARKER)) {
            ended = true;
            return;
        }
        try {
            JsonNode root = MAPPER.readTree(event);
            if (root.has("error")) {
                throw new AnswerMalformedException("The engine reported an error: " + root.get("error") + ".");
            }
            decodeChoice(root.path("choices").path(0), pieces);
        } catch (JsonProcessingException malformed) {
            throw new AnswerMalformedException("The engine sent an event that is not valid JSON.");
        }
    }

    private void decodeChoice(JsonNode choice, List<AnswerPiece> pieces) {
        String text = choice.has("delta")
                ? choice.path("delta").path("content").asText("")
                : choice.path("text").asText("");
        if (!text.isEmpty()) {
            pieces.add(new AnswerPiece(text.getBytes(StandardCharsets.UTF_8), 1));
        }
        String reason = choice.path("finish_reason").asText("");
        if (!reason.isEmpty() && !choice.path("finish_reason").isNull()) {
            finishReason = reason;
        }
    }
}
