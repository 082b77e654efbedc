package org.aspenmoor.internal.registration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.aspenmoor.internal.store.StoredObject;

/**
 * The registration of an agent in the store: its backend server and the address of its link port.
 *
 * @param backend the name of its backend server
 * @param team the team that owns the service
 * @param service the service it belongs to
 * @param host the host it runs on
 * @param dataCentre the data centre of the host
 * @param address the IP address it listens on
 * @param port the link port it listens on
 * @param incarnation identifies one run of the agent process
 */
public record AgentRegistration(
        String backend,
        String team,
        String service,
        String host,
        String dataCentre,
        String address,
        int port,
        String incarnation) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Reads a registration; empty if the object does not contain a valid one. */
    public static Optional<AgentRegistration> read(StoredObject object) {
        try {
            JsonNode json = MAPPER.readTree(object.value());
            AgentRegistration registration = new AgentRegistration(
                    json.path("backend").asText(),
                    json.path("team").asText(),
                    json.path("service").asText(),
                    json.path("host").asText(),
                    json.path("dataCentre").asText(),
                    json.path("address").asText(),
                    json.path("port").asInt(),
                    json.path("incarnation").asText());
            return registration.port() == 0 ? Optional.empty() : Optional.of(registration);
        } catch (JsonProcessingException malformed) {
            return Optional.empty();
        }
    }

    /** Writes the registration as JSON. */
    public String write() {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("backend", backend);
        json.put("team", team);
        json.put("service", service);
        json.put("host", host);
        json.put("dataCentre", dataCentre);
        json.put("address", address);
        json.put("port", port);
        json.put("incarnation", incarnation);
        return json.toString();
    }
}
