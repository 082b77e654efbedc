package org.aspenmoor.internal.store.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.StoreListing;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoredObject;
import org.jboss.logging.Logger;

/** Converts stored objects to and from the JSON of the object API. */
final class ObjectCodec {
    static final String API_VERSION = "aspenmoor.org/v1";

    private static final String REMEDY = "Check the object in the store; another program may have written it.";
    private static final String METADATA = "metadata";
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Logger LOG = Logger.getLogger(ObjectCodec.class);

    private ObjectCodec() {}

    /** Encodes an object; an empty version means that it is to be created. */
    static String write(ObjectKey key, String version, String value) throws StoreMalformedException {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("apiVersion", API_VERSION);
        root.put("kind", kindName(key.kind()));
        ObjectNode metadata = root.putObject(METADATA);
        metadata.put("namespace", key.namespace());
        metadata.put("name", key.name());
        if (!version.isEmpty()) {
            metadata.put("resourceVersion", version);
        }
        JsonNode spec = tree(key.toString(), value);
        if (!spec.isObject()) {
            throw new StoreMalformedException(
                    "The value is not a JSON object.", key.toString(), "Write a JSON object.");
        }
        root.set("spec", spec);
        return root.toString();
    }

    /** Encodes the body of a deletion, which requires the given version. */
    static String writeDeletion(String version) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("apiVersion", API_VERSION);
        root.put("kind", "DeleteOptions");
        root.putObject("preconditions").put("resourceVersion", version);
        return root.toString();
    }

    static StoredObject read(ObjectKind kind, String place, String text) throws StoreMalformedException {
        return read(kind, place, JsonSlice.of(place, text));
    }

    /** Reads an object. Its value is not parsed: whoever uses it has to find out whether it can be read. */
    static StoredObject read(ObjectKind kind, String place, JsonSlice object) throws StoreMalformedException {
        JsonMembers members = object.members();
        JsonNode metadata = members.parse(METADATA);
        String name = metadata.path("name").asText();
        String namespace = metadata.path("namespace").asText();
        String version = metadata.path("resourceVersion").asText();
        if (name.isEmpty() || namespace.isEmpty() || version.isEmpty()) {
            throw new StoreMalformedException(
                    "An object in the store has no name, namespace or version in its metadata.", place, REMEDY);
        }
        String value = members.slice("spec").map(JsonSlice::text).orElse("");
        if (!value.startsWith("{")) {
            throw new StoreMalformedException("An object in the store has no spec.", place, REMEDY);
        }
        return new StoredObject(new ObjectKey(kind, namespace, name), version, value);
    }

    static StoreListing readListing(ObjectKind kind, String place, String text) throws StoreMalformedException {
        JsonMembers members = JsonSlice.of(place, text).members();
        String version = members.parse(METADATA).path("resourceVersion").asText();
        Optional<JsonSlice> items = members.slice("items");
        if (version.isEmpty() || items.isEmpty()) {
            throw new StoreMalformedException("The list from the store has no items or no version.", place, REMEDY);
        }
        List<StoredObject> objects = new ArrayList<>();
        for (JsonSlice item : items.get().elements()) {
            readIfPossible(kind, place, item).ifPresent(objects::add);
        }
        return new StoreListing(objects, version);
    }

    /** Reads one of several objects; empty if it cannot be read, since the others are used without it. */
    static Optional<StoredObject> readIfPossible(ObjectKind kind, String place, JsonSlice object) {
        try {
            return Optional.of(read(kind, place, object));
        } catch (StoreMalformedException malformed) {
            LOG.warnf("store: an object of kind %s is left out: %s", kind.resource(), malformed.problem());
            return Optional.empty();
        }
    }

    static JsonNode tree(String place, String text) throws StoreMalformedException {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException malformed) {
            throw new StoreMalformedException(
                    "The text is not valid JSON: " + malformed.getOriginalMessage(), place, REMEDY, malformed);
        }
    }

    private static String kindName(ObjectKind kind) {
        return switch (kind) {
            case DOCUMENT -> "ServiceDocument";
            case DOCUMENT_REVISION -> "ServiceDocumentRevision";
            case ROLE_PLAN -> "RolePlan";
            case ENGINE_RECORD -> "EngineRecord";
            case AGENT_REGISTRATION -> "AgentRegistration";
            case CLAIM_BUCKET -> "ClaimBucket";
            case HOST -> "Host";
            case SERVING_CONFIGURATION -> "ServingConfiguration";
            case BACKEND_SERVER -> "BackendServer";
            case ENTRY_REGISTRATION -> "EntryRegistration";
            case ORDER_RIGHT -> "OrderRight";
            case FATAL_REQUEST -> "FatalRequest";
            case STREAM_RECORD -> "StreamRecord";
        };
    }
}
