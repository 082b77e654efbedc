package org.aspenmoor.internal.standins.store;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.aspenmoor.internal.standins.http.Json;

/**
 * One change of an object.
 *
 * @param type ADDED, MODIFIED or DELETED
 * @param revision the object after it, or as it last was
 */
record ObjectEvent(Type type, Revision revision) {
    /** What happened to the object. */
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
