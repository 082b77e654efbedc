package org.aspenmoor.internal.administration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;

/**
 * The answer to one call.
 *
 * @param status the HTTP status
 * @param body the body
 * @param headers headers beside the content type
 */
record ApiAnswer(int status, JsonNode body, Map<String, String> headers) {
    static final int OK = 200;

    /** Answers with a body. */
    static ApiAnswer ok(JsonNode body) {
        return new ApiAnswer(OK, body, Map.of());
    }

    /** Answers with a body that speaks of one revision of a document. */
    static ApiAnswer ofRevision(long revision, JsonNode body) {
        return new ApiAnswer(OK, body, Map.of("ETag", "\"" + revision + "\""));
    }
}
