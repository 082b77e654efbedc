package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.document.ServiceName;

/** Shows what a file would change, or the differences between two revisions. */
final class DocumentDifferenceCommand implements Command {
    private static final int REVISION_ARGUMENT_COUNT = 3;

    @Override
    public String name() {
        return "document diff";
    }

    @Override
    public String argumentSyntax() {
        return "FILE | TEAM/SERVICE FROM TO";
    }

    @Override
    public String summary() {
        return "Shows what a file would change, or what changed between two revisions.";
    }

    @Override
    public ExitCode run(Invocation invocation) throws AspenmoorException {
        if (invocation.argumentCount() == REVISION_ARGUMENT_COUNT) {
            return compareRevisions(invocation, invocation.requireArguments(REVISION_ARGUMENT_COUNT));
        }
        String file = invocation.requireArguments(1).getFirst();
        JsonNode proposal = Proposal.ofFile(invocation, file).answer();
        if (invocation.hasOption(Options.JSON)) {
            invocation.out().println(proposal.toPrettyString());
            return ExitCode.DONE;
        }
        invocation.out().println("Against revision " + proposal.path("revision").asLong() + ":");
        ChangeListPrinter.print(invocation.out(), proposal.get("changes"));
        return ExitCode.DONE;
    }

    private static ExitCode compareRevisions(Invocation invocation, List<String> arguments) throws AspenmoorException {
        ServiceName name = invocation.parseServiceName(arguments.getFirst());
        RevisionDifference difference = new RevisionDifference(invocation.client(), name);
        JsonNode changes = difference.between(
                invocation.parseRevision(arguments.get(1)), invocation.parseRevision(arguments.get(2)));
        if (invocation.hasOption(Options.JSON)) {
            invocation.out().println(changes.toPrettyString());
        } else {
            ChangeListPrinter.print(invocation.out(), changes);
        }
        return ExitCode.DONE;
    }
}
