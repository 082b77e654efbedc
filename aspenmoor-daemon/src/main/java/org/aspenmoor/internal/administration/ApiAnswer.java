package org.aspenmoor.internal.administration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;

/**
 * The answer to a call of the administration API.
 *
 * @param status the HTTP status
 * @param body the JSON body
 * @param headers headers in addition to the content type
 */
record ApiAnswer(int status, JsonNode body, Map<String, String> headers) {
    static final int OK = 200;

    /** Returns a successful answer. */
    static ApiAnswer ok(JsonNode body) {
        return new ApiAnswer(OK, body, Map.of());
    }

    /** Returns a successful answer about one revision of a document, with the revision as entity tag. */
    static ApiAnswer ofRevision(long revision, JsonNode body) {
        return new ApiAnswer(OK, body, Map.of("ETag", "\"" + revision + "\""));
    }
}
