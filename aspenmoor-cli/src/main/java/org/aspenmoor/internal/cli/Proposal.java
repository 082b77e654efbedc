package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.OptionalLong;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.document.ServiceDocument;
import org.aspenmoor.internal.document.ServiceName;

/**
 * A change that an entry has checked and not written.
 *
 * @param name the service
 * @param text the whole new document
 * @param readRevision the revision that the change was made on
 * @param answer what the entry says it would do
 */
record Proposal(ServiceName name, String text, long readRevision, JsonNode answer) {
    /** Proposes a file. The change was made on the revision that the file or --base names, else on the current one. */
    static Proposal ofFile(Invocation invocation, String file) throws AspenmoorException {
        String text = invocation.file(file);
        ServiceDocument document = DocumentCheckCommand.check(file, text);
        return of(invocation, ServiceName.of(document), text, base(invocation, document));
    }

    /** Proposes a text on a revision. */
    static Proposal of(Invocation invocation, ServiceName name, String text, OptionalLong base)
            throws AspenmoorException {
        JsonNode answer = invocation.client().ask(ServicePaths.of(name) + "/propose", base, text);
        return new Proposal(name, text, base.orElse(answer.path("revision").asLong()), answer);
    }

    private static OptionalLong base(Invocation invocation, ServiceDocument document) {
        if (invocation.has(Options.BASE)) {
            return invocation.number(Options.BASE);
        }
        return document.revision() > 0 ? OptionalLong.of(document.revision()) : OptionalLong.empty();
    }

    /** Says whether the document would declare what it declares already. */
    boolean changesNothing() {
        return answer.path("changes").isEmpty();
    }
}
