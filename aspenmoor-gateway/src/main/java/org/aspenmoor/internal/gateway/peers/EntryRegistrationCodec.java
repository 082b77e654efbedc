package org.aspenmoor.internal.gateway.peers;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.aspenmoor.internal.serving.origin.StreamOrigin;
import org.aspenmoor.internal.store.StoredObject;

/** Reads and writes the registration of an entry in the store. */
final class EntryRegistrationCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String HOST = "host";
    private static final String PORT = "port";
    private static final String RENEWED_AT = "renewedAt";
    private static final String ORIGINS = "origins";
    private static final int MAX_PORT = 65_535;

    private EntryRegistrationCodec() {}

    static String serialise(EntryRegistration registration) {
        ObjectNode root = MAPPER.createObjectNode()
                .put(HOST, registration.address().getAddress().getHostAddress())
                .put(PORT, registration.address().getPort())
                .put(RENEWED_AT, registration.renewedAt().toEpochMilli());
        ArrayNode origins = root.putArray(ORIGINS);
        registration.origins().forEach(origin -> StreamOriginJson.write(origins.addObject(), origin));
        return root.toString();
    }

    /** Parses a registration; empty if it contains no valid address. */
    static Optional<EntryRegistration> parse(StoredObject object) {
        try {
            JsonNode root = MAPPER.readTree(object.value());
            String host = root.path(HOST).asText("");
            int port = root.path(PORT).asInt(0);
            boolean usable = !host.isEmpty() && port > 0 && port <= MAX_PORT;
            return usable
                    ? Optional.of(new EntryRegistration(
                            new InetSocketAddress(host, port),
                            Instant.ofEpochMilli(root.path(RENEWED_AT).asLong(0)),
                            parseOrigins(root.path(ORIGINS))))
                    : Optional.empty();
        } catch (JsonProcessingException malformed) {
            return Optional.empty();
        }
    }

    private static Set<StreamOrigin> parseOrigins(JsonNode origins) {
        Set<StreamOrigin> parsed = new HashSet<>();
        origins.forEach(origin -> parsed.add(StreamOriginJson.read(origin)));
        return parsed;
    }
}
