package org.aspenmoor.internal.standins.store;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.aspenmoor.internal.standins.http.Json;

/**
 * A change of an object.
 *
 * @param type ADDED, MODIFIED or DELETED
 * @param revision the object after the change, or its last state if it was deleted
 */
record ObjectEvent(Type type, Revision revision) {
    /** Kind of change. */
    enum Type {
        ADDED,
        MODIFIED,
        DELETED
    }

    ObjectNode toJson() {
        ObjectNode root = Json.object();
        root.put("type", type.name());
        root.set("object", revision.toJson());
        return root;
    }
}
