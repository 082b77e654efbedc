package org.aspenmoor.internal.standins.store;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.aspenmoor.internal.standins.http.Json;

/**
 * One version of an object.
 *
 * @param name its name
 * @param version the store's version of it
 * @param spec its content
 */
record Revision(ObjectName name, long version, ObjectNode spec) {
    ObjectNode toJson() {
        ObjectNode root = Json.object();
        root.put("apiVersion", "aspenmoor.org/v1");
        ObjectNode metadata = root.putObject("metadata");
        metadata.put("namespace", name.namespace());
        metadata.put("name", name.name());
        metadata.put("resourceVersion", String.valueOf(version));
        root.set("spec", spec);
        return root;
    }
}
