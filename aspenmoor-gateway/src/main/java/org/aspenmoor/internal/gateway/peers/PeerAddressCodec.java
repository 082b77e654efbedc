package org.aspenmoor.internal.gateway.peers;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.aspenmoor.internal.store.StoredObject;

/**
 * Reads and writes the registration of an entry in the store: the address at which it receives reports from other
 * entries.
 */
final class PeerAddressCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String HOST = "host";
    private static final String PORT = "port";
    private static final int MAX_PORT = 65_535;

    private PeerAddressCodec() {}

    static String serialise(InetSocketAddress address) {
        return MAPPER.createObjectNode()
                .put(HOST, address.getAddress().getHostAddress())
                .put(PORT, address.getPort())
                .toString();
    }

    /** Parses a registration; empty if it contains no valid address. */
    static Optional<InetSocketAddress> parse(StoredObject object) {
        try {
            JsonNode root = MAPPER.readTree(object.value());
            String host = root.path(HOST).asText("");
            int port = root.path(PORT).asInt(0);
            boolean usable = !host.isEmpty() && port > 0 && port <= MAX_PORT;
            return usable ? Optional.of(new InetSocketAddress(host, port)) : Optional.empty();
        } catch (JsonProcessingException malformed) {
            return Optional.empty();
        }
    }
}
