package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.OptionalLong;
import joptsimple.OptionParser;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.document.ServiceName;

/** Accepts the content of an earlier revision as a new revision. */
final class DocumentRevertCommand implements Command {
    @Override
    public String name() {
        return "document revert";
    }

    @Override
    public String argumentSyntax() {
        return "TEAM/SERVICE REVISION";
    }

    @Override
    public String summary() {
        return "Accepts the content of an earlier revision as a new revision.";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        Options.declareChangeOptions(parser);
    }

    @Override
    public ExitCode run(Invocation invocation) throws AspenmoorException {
        List<String> arguments = invocation.requireArguments(2);
        ServiceName name = invocation.parseServiceName(arguments.getFirst());
        long target = invocation.parseRevision(arguments.get(1));
        String path = ServicePaths.of(name);
        JsonNode earlier = invocation.client().get(path + "/history/" + target).path("document");
        if (earlier instanceof ObjectNode object) {
            object.remove("revision");
        }
        Proposal proposal = Proposal.of(invocation, name, earlier.toString(), OptionalLong.empty());
        return new ChangeConfirmation(invocation)
                .run(
                        proposal,
                        () -> invocation.client().postChange(path + "/revert/" + target, proposal.baseRevision()));
    }
}
