package org.aspenmoor.internal.standins.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.aspenmoor.internal.standins.http.Json;

/**
 * One change of the prefix cache.
 *
 * @param sequence counts up by one with every change; missing numbers are lost events
 * @param type what happened
 * @param piece the piece's name
 */
record CacheEvent(long sequence, Type type, long piece) {
    /** What happened to a piece. */
    enum Type {
        STORED,
        REMOVED
    }

    ObjectNode toJson() {
        ObjectNode root = Json.object();
        root.put("sequence", sequence);
        root.put("type", type.name());
        root.put("piece", Long.toHexString(piece));
        return root;
    }
}
