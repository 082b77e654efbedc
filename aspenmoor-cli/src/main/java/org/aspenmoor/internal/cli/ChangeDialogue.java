package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;
import java.util.Optional;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.document.ServiceName;

/** Shows what a change will do, asks, carries it out, and waits until it is in force if told to. */
final class ChangeDialogue {
    private final Invocation invocation;

    ChangeDialogue(Invocation invocation) {
        this.invocation = invocation;
    }

    /** Sends a change that the operator has agreed to. */
    interface Change {
        JsonNode send() throws AspenmoorException;
    }

    ExitCode run(Proposal proposal, Change change) throws AspenmoorException {
        boolean json = invocation.has(Options.JSON);
        if (!json) {
            invocation.out().println(proposal.name() + " against revision " + proposal.readRevision() + ":");
            ChangeList.print(invocation.out(), proposal.answer().path("changes"));
        }
        if (proposal.changesNothing()) {
            return ExitCode.DONE;
        }
        if (!invocation.has(Options.YES) && !agrees(proposal)) {
            invocation.terminal().error().println("aspenmoor: Nothing was changed.");
            return ExitCode.DECLINED;
        }
        JsonNode accepted = change.send();
        long revision = accepted.path("revision").asLong();
        if (json) {
            invocation.out().println(accepted.toPrettyString());
        } else {
            invocation.out().println("Accepted as revision " + revision + ".");
        }
        return invocation.has(Options.WAIT) ? await(proposal.name(), revision) : ExitCode.DONE;
    }

    private boolean agrees(Proposal proposal) {
        invocation.terminal().error().print("Accept as revision " + (proposal.readRevision() + 1) + "? [y/N] ");
        invocation.terminal().error().flush();
        Optional<String> answer = invocation.terminal().readLine();
        return answer.map(text -> text.strip().toLowerCase(Locale.ROOT))
                .filter(text -> text.equals("y") || text.equals("yes"))
                .isPresent();
    }

    private ExitCode await(ServiceName name, long revision) throws AspenmoorException {
        return new InForceWait(invocation, name, revision).run();
    }
}
