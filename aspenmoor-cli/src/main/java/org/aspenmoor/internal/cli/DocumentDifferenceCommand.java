package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.document.ServiceName;

/** Shows what a file, or one revision against another, changes. */
final class DocumentDifferenceCommand implements Command {
    private static final int ARGUMENTS_OF_REVISIONS = 3;

    @Override
    public String name() {
        return "document diff";
    }

    @Override
    public String arguments() {
        return "FILE | TEAM/SERVICE FROM TO";
    }

    @Override
    public String summary() {
        return "Shows what a file would change, or what changed between two revisions.";
    }

    @Override
    public ExitCode run(Invocation invocation) throws AspenmoorException {
        if (invocation.argumentCount() == ARGUMENTS_OF_REVISIONS) {
            return betweenRevisions(invocation, invocation.arguments(ARGUMENTS_OF_REVISIONS));
        }
        String file = invocation.arguments(1).getFirst();
        JsonNode proposal = Proposal.ofFile(invocation, file).answer();
        if (invocation.has(Options.JSON)) {
            invocation.out().println(proposal.toPrettyString());
            return ExitCode.DONE;
        }
        invocation.out().println("Against revision " + proposal.path("revision").asLong() + ":");
        ChangeList.print(invocation.out(), proposal.get("changes"));
        return ExitCode.DONE;
    }

    private static ExitCode betweenRevisions(Invocation invocation, List<String> arguments) throws AspenmoorException {
        ServiceName name = invocation.service(arguments.getFirst());
        RevisionDifference difference = new RevisionDifference(invocation.client(), name);
        JsonNode changes =
                difference.between(invocation.revision(arguments.get(1)), invocation.revision(arguments.get(2)));
        if (invocation.has(Options.JSON)) {
            invocation.out().println(changes.toPrettyString());
        } else {
            ChangeList.print(invocation.out(), changes);
        }
        return ExitCode.DONE;
    }
}
