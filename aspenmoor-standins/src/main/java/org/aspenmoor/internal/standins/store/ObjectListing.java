package org.aspenmoor.internal.standins.store;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.standins.http.Json;

/**
 * The objects of one resource at one version.
 *
 * @param objects the objects
 * @param version the version from which a watch continues the list
 */
record ObjectListing(List<Revision> objects, long version) {
    static ObjectListing of(List<Revision> all, Optional<String> namespace, long version) {
        List<Revision> matching = all.stream()
                .filter(revision -> namespace.isEmpty()
                        || namespace.get().equals(revision.name().namespace()))
                .toList();
        return new ObjectListing(matching, version);
    }

    ObjectNode toJson() {
        ObjectNode root = Json.object();
        root.put("apiVersion", "aspenmoor.org/v1");
        root.put("kind", "List");
        root.putObject("metadata").put("resourceVersion", String.valueOf(version));
        ArrayNode items = root.putArray("items");
        objects.forEach(revision -> items.add(revision.toJson()));
        return root;
    }
}
