package org.aspenmoor.internal.gateway.peers;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.aspenmoor.internal.serving.SoftwareVersion;
import org.aspenmoor.internal.serving.origin.StreamOrigin;

/** Reads and writes the origin of streams as part of a stored object. */
final class StreamOriginJson {
    private static final String SERVICE = "service";
    private static final String VERSION = "version";

    private StreamOriginJson() {}

    /** Adds the fields of an origin to a node, and returns the node. */
    static ObjectNode write(ObjectNode node, StreamOrigin origin) {
        return node.put(SERVICE, origin.service()).put(VERSION, origin.version().name());
    }

    static StreamOrigin read(JsonNode node) {
        return new StreamOrigin(
                node.path(SERVICE).asText(),
                new SoftwareVersion(node.path(VERSION).asText()));
    }
}
