package org.aspenmoor.internal.standins.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.aspenmoor.internal.standins.http.Json;

/**
 * A change of the prefix cache.
 *
 * @param sequence increases by one with every change; a gap in the numbers means lost events
 * @param type whether the piece was stored or removed
 * @param piece hash that identifies the piece
 */
record CacheEvent(long sequence, Type type, long piece) {
    /** Kind of change. */
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
