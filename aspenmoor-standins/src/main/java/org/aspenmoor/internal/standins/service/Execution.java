package org.aspenmoor.internal.standins.service;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.aspenmoor.internal.standins.http.Json;

/**
 * One call that ran.
 *
 * @param id the identity of the entry it made
 * @param path what was called
 * @param requestId the caller's request, as the agent names it
 * @param attempt the attempt, as the agent counts it
 * @param idempotencyKey the caller's key; empty where there was none
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
