package org.aspenmoor.internal.registration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.aspenmoor.internal.store.StoredObject;

/**
 * Where an agent listens, as it wrote it into the store.
 *
 * @param backend the backend server it stands beside
 * @param team the team it serves
 * @param service the service it serves
 * @param host the host it runs on
 * @param dataCentre where it stands
 * @param address its IP number
 * @param port its link port
 * @param incarnation changes with every start of the agent
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

    /** Reads a registration; empty where the object does not hold one. */
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
