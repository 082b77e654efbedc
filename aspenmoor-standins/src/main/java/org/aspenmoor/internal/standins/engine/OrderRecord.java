package org.aspenmoor.internal.standins.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.aspenmoor.internal.standins.http.Json;

/**
 * An order that the engine received.
 *
 * @param orderId the id of the order
 * @param fencingNumber the fencing number of the order
 * @param type the type of the order
 * @param result {@code begun}, or the reason if the order was refused
 */
record OrderRecord(String orderId, long fencingNumber, String type, String result) {
    ObjectNode toJson() {
        ObjectNode root = Json.object();
        root.put("orderId", orderId);
        root.put("fencingNumber", fencingNumber);
        root.put("type", type);
        root.put("result", result);
        return root;
    }
}
