package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.OptionalLong;
import joptsimple.OptionParser;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.document.ServiceName;

/**
 * Changes individual fields of a document.
 *
 * <p>Does not open an editor, because no program of the system starts other processes. For larger changes, redirect the
 * output of {@code document get} to a file, edit the file and accept it.
 */
final class DocumentEditCommand implements Command {
    @Override
    public String name() {
        return "document edit";
    }

    @Override
    public String argumentSyntax() {
        return "TEAM/SERVICE --set FIELD=VALUE...";
    }

    @Override
    public String summary() {
        return "Changes individual fields, such as --set models.scene-drafter.version=4, and accepts the result.";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        Options.declareChangeOptions(parser);
        parser.accepts(Options.SET, "path and new value of a field, in JSON or plain text; may be given more than once")
                .withRequiredArg();
    }

    @Override
    public ExitCode run(Invocation invocation) throws AspenmoorException {
        ServiceName name =
                invocation.parseServiceName(invocation.requireArguments(1).getFirst());
        List<String> assignments = invocation.optionValues(Options.SET);
        if (assignments.isEmpty()) {
            throw new UsageException(
                    "No field assignment was given.",
                    name(),
                    "Add --set FIELD=VALUE; or run \"aspenmoor document get " + name
                            + " > FILE\", change the file, and accept it.");
        }
        JsonNode current = invocation.client().get(ServicePaths.of(name));
        JsonNode document = current.path("document");
        for (String assignment : assignments) {
            FieldAssignment.parse(assignment).applyTo(document);
        }
        long revision = current.path("revision").asLong();
        Proposal proposal = Proposal.of(invocation, name, document.toPrettyString(), OptionalLong.of(revision));
        return new ChangeConfirmation(invocation)
                .run(proposal, () -> invocation.client().put(ServicePaths.of(name), revision, proposal.text()));
    }
}
