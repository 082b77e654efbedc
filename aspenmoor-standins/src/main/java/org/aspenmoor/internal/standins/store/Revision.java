package org.aspenmoor.internal.standins.store;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.aspenmoor.internal.standins.http.Json;

/**
 * An object at one version.
 *
 * @param name the name of the object
 * @param version the version that the store assigned
 * @param spec the content of the object
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
