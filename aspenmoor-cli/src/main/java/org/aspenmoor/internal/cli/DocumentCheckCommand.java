package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.OptionalLong;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.document.CheckedDocument;
import org.aspenmoor.internal.document.DocumentChecker;
import org.aspenmoor.internal.document.ServiceDocument;
import org.aspenmoor.internal.document.UnknownFleetView;
import org.aspenmoor.internal.finding.FindingsException;

/** Checks a file; against the fleet as well where an entry is named. */
final class DocumentCheckCommand implements Command {
    @Override
    public String name() {
        return "document check";
    }

    @Override
    public String arguments() {
        return "FILE";
    }

    @Override
    public String summary() {
        return "Checks a document and names every mistake; with --entry against the fleet as well.";
    }

    @Override
    public ExitCode run(Invocation invocation) throws AspenmoorException {
        String file = invocation.arguments(1).getFirst();
        String text = invocation.file(file);
        ServiceDocument document = check(file, text);
        if (invocation.namesEntry()) {
            JsonNode answer = invocation.client().ask(ServicePaths.of(document) + "/check", OptionalLong.empty(), text);
            if (answer.path("mistakes").asInt() > 0) {
                throw new FleetFindings(file, answer).asException();
            }
        }
        if (invocation.has(Options.JSON)) {
            ObjectNode result = JsonNodeFactory.instance.objectNode().put("mistakes", 0);
            result.putArray("findings");
            invocation.out().println(result.toPrettyString());
        } else {
            String scope = invocation.namesEntry() ? "" : " in itself; name an entry to check it against the fleet";
            invocation.out().println(file + " has no mistakes" + scope + ".");
        }
        return ExitCode.DONE;
    }

    /** Checks a text by itself and throws every mistake. */
    static ServiceDocument check(String file, String text) throws FindingsException {
        String source = Path.of(file).getFileName().toString();
        CheckedDocument checked = new DocumentChecker(new UnknownFleetView()).check(source, text);
        return checked.orThrow(file);
    }
}
