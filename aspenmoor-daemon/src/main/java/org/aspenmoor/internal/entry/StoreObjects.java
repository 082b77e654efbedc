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

/** Turns the store's objects into what the event loop knows. */
final class StoreObjects {
    private static final Logger LOG = Logger.getLogger("entry");
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String LEAVING = "leaving";

    private final DocumentIndex documentIndex;
    private final AgentDirectory directory;

    StoreObjects(DocumentIndex documentIndex, AgentDirectory directory) {
        this.documentIndex = documentIndex;
        this.directory = directory;
    }

    void changed(StoredObject object, long now) {
        switch (object.key().kind()) {
            case DOCUMENT -> documentChanged(object);
            case AGENT_REGISTRATION ->
                AgentRegistration.read(object).ifPresent(registration -> directory.registered(registration, now));
            case HOST -> hostChanged(object);
            default -> LOG.debugf("entry: object %s is not for an entry", object.key());
        }
    }

    void deleted(StoredObject object) {
        switch (object.key().kind()) {
            case AGENT_REGISTRATION -> directory.unregistered(object.key().name());
            case HOST -> directory.hostGone(object.key().name());
            default -> LOG.infof("entry: object %s was deleted, what it said stays in force", object.key());
        }
    }

    void known(ObjectKind kind) {
        if (kind == ObjectKind.HOST) {
            directory.hostListKnown();
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

    private void documentChanged(StoredObject object) {
        try {
            ServiceDocument document = StoredDocumentCodec.read(object).document();
            if (documentIndex.put(document)) {
                LOG.infof(
                        "entry: document %s/%s revision %d in force",
                        document.team(), document.service(), document.revision());
            }
        } catch (StoreMalformedException malformed) {
            LOG.errorf("entry: document %s is malformed, the one before stays: %s", object.key(), malformed.problem());
        }
    }

    private void hostChanged(StoredObject object) {
        try {
            JsonNode host = MAPPER.readTree(object.value());
            String name = host.path("name").asText(object.key().name());
            directory.hostChanged(name, LEAVING.equals(host.path("state").asText()));
        } catch (JsonProcessingException malformed) {
            LOG.warnf("entry: host %s is malformed, ignored", object.key());
        }
    }
}
