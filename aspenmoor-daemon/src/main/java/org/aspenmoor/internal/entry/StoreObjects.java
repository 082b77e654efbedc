package org.aspenmoor.internal.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.Optional;
import org.aspenmoor.internal.document.DocumentReader;
import org.aspenmoor.internal.document.ServiceDocument;
import org.aspenmoor.internal.finding.Findings;
import org.aspenmoor.internal.registration.AgentRegistration;
import org.aspenmoor.internal.store.StoredObject;
import org.jboss.logging.Logger;

/** Turns the store's objects into what the desk knows. */
final class StoreObjects {
    private static final Logger LOG = Logger.getLogger("entry");
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String LEAVING = "leaving";

    private final DocumentShelf shelf;
    private final AgentDirectory directory;

    StoreObjects(DocumentShelf shelf, AgentDirectory directory) {
        this.shelf = shelf;
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
            // A host that is gone from the list takes nothing; one that was never listed says nothing.
            case HOST -> directory.hostChanged(object.key().name(), true);
            default -> LOG.infof("entry: object %s was deleted, what it said stays in force", object.key());
        }
    }

    void dump(ArrayNode documents) {
        for (ServiceDocument document : shelf.all()) {
            documents
                    .addObject()
                    .put("team", document.team())
                    .put("service", document.service())
                    .put("revision", document.revision());
        }
    }

    private void documentChanged(StoredObject object) {
        Findings findings = new Findings();
        Optional<ServiceDocument> document =
                new DocumentReader(findings).read(object.key().toString(), object.value());
        // What was accepted was checked then; a document of a newer build may still hold fields unknown here.
        findings.all().forEach(finding -> LOG.warnf("entry: document finding, %s", finding));
        document.filter(shelf::put)
                .ifPresent(put -> LOG.infof(
                        "entry: document %s/%s revision %d in force", put.team(), put.service(), put.revision()));
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
