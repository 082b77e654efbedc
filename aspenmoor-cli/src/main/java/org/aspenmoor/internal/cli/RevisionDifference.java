package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.document.DocumentChange;
import org.aspenmoor.internal.document.DocumentDifference;
import org.aspenmoor.internal.document.DocumentReader;
import org.aspenmoor.internal.document.ServiceDocument;
import org.aspenmoor.internal.document.ServiceName;
import org.aspenmoor.internal.finding.Findings;

/** Compares two revisions of a document from the history that an entry returns. */
final class RevisionDifference {
    private final AdministrationClient client;
    private final ServiceName name;

    RevisionDifference(AdministrationClient client, ServiceName name) {
        this.client = client;
        this.name = name;
    }

    ArrayNode between(long from, long to) throws AspenmoorException {
        ArrayNode changes = JsonNodeFactory.instance.arrayNode();
        for (DocumentChange change :
                DocumentDifference.between(document(from), document(to)).changes()) {
            ObjectNode node = changes.addObject().put("change", change.description());
            change.engineEffect().ifPresent(effect -> node.put("engines", effect));
        }
        return changes;
    }

    private ServiceDocument document(long revision) throws AspenmoorException {
        JsonNode answer = client.get(ServicePaths.of(name) + "/history/" + revision);
        Findings findings = new Findings();
        String source = name + " revision " + revision;
        return new DocumentReader(findings)
                .read(source, answer.path("document").toString())
                .orElseThrow(() -> new AspenmoorException(
                        "The entry's answer does not contain a readable document.",
                        source,
                        "Use an entry of the same version as this tool."));
    }
}
