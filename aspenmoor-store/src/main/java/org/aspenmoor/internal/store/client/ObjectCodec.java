package org.aspenmoor.internal.store.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.StoreListing;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoredObject;

/** Converts stored objects to and from the JSON of the object API. */
final class ObjectCodec {
    static final String API_VERSION = "aspenmoor.org/v1";

    private static final String REMEDY = "Check the object in the store; another program may have written it.";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ObjectCodec() {}

    /** Encodes an object; an empty version means that it is to be created. */
    static String write(ObjectKey key, String version, String value) throws StoreMalformedException {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("apiVersion", API_VERSION);
        root.put("kind", kindName(key.kind()));
        ObjectNode metadata = root.putObject("metadata");
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
        return read(kind, place, tree(place, text));
    }

    static StoredObject read(ObjectKind kind, String place, JsonNode node) throws StoreMalformedException {
        JsonNode metadata = node.path("metadata");
        String name = metadata.path("name").asText();
        String namespace = metadata.path("namespace").asText();
        String version = metadata.path("resourceVersion").asText();
        if (name.isEmpty() || namespace.isEmpty() || version.isEmpty()) {
            throw new StoreMalformedException(
                    "An object in the store has no name, namespace or version in its metadata.", place, REMEDY);
        }
        if (!node.path("spec").isObject()) {
            throw new StoreMalformedException("An object in the store has no spec.", place, REMEDY);
        }
        ObjectKey key = new ObjectKey(kind, namespace, name);
        return new StoredObject(key, version, node.path("spec").toString());
    }

    static StoreListing readListing(ObjectKind kind, String place, String text) throws StoreMalformedException {
        JsonNode root = tree(place, text);
        String version = root.path("metadata").path("resourceVersion").asText();
        if (version.isEmpty() || !root.path("items").isArray()) {
            throw new StoreMalformedException("The list from the store has no items or no version.", place, REMEDY);
        }
        List<StoredObject> objects = new ArrayList<>();
        for (JsonNode item : root.path("items")) {
            objects.add(read(kind, place, item));
        }
        return new StoreListing(objects, version);
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
