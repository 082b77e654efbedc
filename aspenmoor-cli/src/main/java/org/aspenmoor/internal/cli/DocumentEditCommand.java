package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.OptionalLong;
import joptsimple.OptionParser;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.document.ServiceName;

/**
 * Changes single fields of a document.
 *
 * <p>It opens no editor: the tool, like every program of the system, starts no other process. For larger changes, redirect
 * {@code document get} into a file and accept that.
 */
final class DocumentEditCommand implements Command {
    @Override
    public String name() {
        return "document edit";
    }

    @Override
    public String arguments() {
        return "TEAM/SERVICE --set FIELD=VALUE...";
    }

    @Override
    public String summary() {
        return "Changes single fields, such as --set models.scene-drafter.version=4, and accepts the result.";
    }

    @Override
    public void declare(OptionParser parser) {
        Options.declareChange(parser);
        parser.accepts(Options.SET, "a field's path and its new value, in JSON or plain text; may be repeated")
                .withRequiredArg();
    }

    @Override
    public ExitCode run(Invocation invocation) throws AspenmoorException {
        ServiceName name = invocation.service(invocation.arguments(1).getFirst());
        List<String> assignments = invocation.texts(Options.SET);
        if (assignments.isEmpty()) {
            throw new UsageException(
                    "No field is set.",
                    name(),
                    "Add --set FIELD=VALUE; or write \"aspenmoor document get " + name
                            + " > FILE\", change the file, and accept it.");
        }
        JsonNode read = invocation.client().get(ServicePaths.of(name));
        JsonNode document = read.path("document");
        for (String assignment : assignments) {
            FieldAssignment.parse(assignment).applyTo(document);
        }
        long revision = read.path("revision").asLong();
        Proposal proposal = Proposal.of(invocation, name, document.toPrettyString(), OptionalLong.of(revision));
        return new ChangeDialogue(invocation)
                .run(proposal, () -> invocation.client().put(ServicePaths.of(name), revision, proposal.text()));
    }
}
