package org.aspenmoor.internal.standins.service;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.aspenmoor.internal.standins.http.Json;

/**
 * A call that the service executed.
 *
 * @param id the id of the record that the call created
 * @param path the path of the call
 * @param requestId id of the caller's request, from the agent's {@code X-Request-Id} header; empty if missing
 * @param attempt number of the attempt, from the agent's {@code X-Attempt} header; empty if missing
 * @param idempotencyKey the caller's idempotency key; empty if there was none
 * @param bodyHash the hash of the caller's body
 */
record Execution(String id, String path, String requestId, String attempt, String idempotencyKey, String bodyHash) {
    ObjectNode toJson() {
        ObjectNode root = Json.object();
        root.put("id", id);
        root.put("path", path);
        root.put("requestId", requestId);
        root.put("attempt", attempt);
        root.put("idempotencyKey", idempotencyKey);
        root.put("bodyHash", bodyHash);
        return root;
    }
}
