package org.aspenmoor.internal.administration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.aspenmoor.internal.document.DocumentChange;
import org.aspenmoor.internal.document.DocumentDifference;
import org.aspenmoor.internal.document.DocumentWriter;
import org.aspenmoor.internal.document.ServiceDocument;
import org.aspenmoor.internal.document.StoredDocument;

/** Converts documents, their acceptance records and their differences to JSON. */
final class DocumentJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private DocumentJson() {}

    static ObjectNode summary(ServiceDocument document) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("team", document.team())
                .put("service", document.service())
                .put("revision", document.revision());
    }

    static ObjectNode revision(StoredDocument stored) {
        ObjectNode node = summary(stored.document());
        stored.acceptance().ifPresent(acceptance -> {
            node.put("acceptedBy", acceptance.operator());
            node.put("acceptedAt", acceptance.acceptedAt().toString());
            acceptance.changes().forEach(node.putArray("changes")::add);
        });
        return node;
    }

    static ObjectNode complete(StoredDocument stored) {
        ObjectNode node = revision(stored);
        node.set("document", document(stored.document()));
        return node;
    }

    static ArrayNode changes(DocumentDifference difference) {
        ArrayNode array = JsonNodeFactory.instance.arrayNode();
        for (DocumentChange change : difference.changes()) {
            ObjectNode node = array.addObject().put("change", change.description());
            change.engineEffect().ifPresent(effect -> node.put("engines", effect));
        }
        return array;
    }

    private static JsonNode document(ServiceDocument document) {
        try {
            return MAPPER.readTree(DocumentWriter.write(document));
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException("DocumentWriter wrote invalid JSON", impossible);
        }
    }
}
