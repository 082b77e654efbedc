package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.OptionalLong;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.document.ServiceDocument;
import org.aspenmoor.internal.document.ServiceName;

/**
 * A change that an entry has checked but not yet stored.
 *
 * @param name the service
 * @param text the complete new document
 * @param baseRevision the revision that the change is based on
 * @param answer answer of the entry, with the effects of the change
 */
record Proposal(ServiceName name, String text, long baseRevision, JsonNode answer) {
    /** Proposes a file, based on the revision in {@code --base}, else that in the file, else the current revision. */
    static Proposal ofFile(Invocation invocation, String file) throws AspenmoorException {
        String text = invocation.readFile(file);
        ServiceDocument document = DocumentCheckCommand.check(file, text);
        return of(invocation, ServiceName.of(document), text, declaredBaseRevision(invocation, document));
    }

    /** Proposes a document, based on the declared revision, else on the current one. */
    static Proposal of(Invocation invocation, ServiceName name, String text, OptionalLong declaredBase)
            throws AspenmoorException {
        JsonNode answer = invocation.client().postQuery(ServicePaths.of(name) + "/propose", declaredBase, text);
        return new Proposal(
                name, text, declaredBase.orElse(answer.path("revision").asLong()), answer);
    }

    private static OptionalLong declaredBaseRevision(Invocation invocation, ServiceDocument document) {
        if (invocation.hasOption(Options.BASE)) {
            return invocation.optionNumber(Options.BASE);
        }
        return document.revision() > 0 ? OptionalLong.of(document.revision()) : OptionalLong.empty();
    }

    /** Returns whether the proposed document is equivalent to the current one. */
    boolean hasNoChanges() {
        return answer.path("changes").isEmpty();
    }
}
