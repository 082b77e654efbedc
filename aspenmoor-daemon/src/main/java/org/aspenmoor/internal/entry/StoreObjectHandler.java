package org.aspenmoor.internal.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import org.aspenmoor.internal.document.ServiceDocument;
import org.aspenmoor.internal.document.StoredDocumentCodec;
import org.aspenmoor.internal.registration.AgentRegistration;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoredObject;
import org.jboss.logging.Logger;

/** Applies changes of store objects to the state of the event loop. */
final class StoreObjectHandler {
    private static final Logger LOG = Logger.getLogger("entry");
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String LEAVING = "leaving";

    private final DocumentIndex documentIndex;
    private final AgentDirectory directory;

    StoreObjectHandler(DocumentIndex documentIndex, AgentDirectory directory) {
        this.documentIndex = documentIndex;
        this.directory = directory;
    }

    void objectChanged(StoredObject object, long now) {
        switch (object.key().kind()) {
            case DOCUMENT -> applyDocument(object);
            case AGENT_REGISTRATION ->
                AgentRegistration.read(object).ifPresent(registration -> directory.register(registration, now));
            case HOST -> applyHost(object);
            default -> LOG.debugf("entry: ignoring object %s, which entries do not handle", object.key());
        }
    }

    void objectDeleted(StoredObject object) {
        switch (object.key().kind()) {
            case AGENT_REGISTRATION -> directory.unregister(object.key().name());
            case HOST -> directory.removeHost(object.key().name());
            default -> LOG.infof("entry: object %s was deleted; its last content stays in force", object.key());
        }
    }

    /** Handles the first complete listing of the objects of a kind. */
    void collectionListed(ObjectKind kind) {
        if (kind == ObjectKind.HOST) {
            directory.completeHostList();
        }
    }

    void dump(ArrayNode documents) {
        for (ServiceDocument document : documentIndex.all()) {
            documents
                    .addObject()
                    .put("team", document.team())
                    .put("service", document.service())
                    .put("revision", document.revision());
        }
    }

    private void applyDocument(StoredObject object) {
        try {
            ServiceDocument document = StoredDocumentCodec.read(object).document();
            if (documentIndex.put(document)) {
                LOG.infof(
                        "entry: document %s/%s revision %d in force",
                        document.team(), document.service(), document.revision());
            }
        } catch (StoreMalformedException malformed) {
            LOG.errorf(
                    "entry: document %s is malformed; the previous one stays in force: %s",
                    object.key(), malformed.problem());
        }
    }

    private void applyHost(StoredObject object) {
        try {
            JsonNode host = MAPPER.readTree(object.value());
            String name = host.path("name").asText(object.key().name());
            directory.updateHost(name, LEAVING.equals(host.path("state").asText()));
        } catch (JsonProcessingException malformed) {
            LOG.warnf("entry: ignoring host %s, its JSON is malformed", object.key());
        }
    }
}
