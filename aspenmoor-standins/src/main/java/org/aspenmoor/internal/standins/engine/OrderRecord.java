package org.aspenmoor.internal.standins.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.aspenmoor.internal.standins.http.Json;

/**
 * One order that came.
 *
 * @param orderId its identity
 * @param fencingNumber the fencing number it carried
 * @param type its type
 * @param result {@code begun} or why it was refused
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
