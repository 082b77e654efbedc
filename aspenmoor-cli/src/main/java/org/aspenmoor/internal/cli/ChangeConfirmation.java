package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;
import java.util.Optional;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.document.ServiceName;

/** Shows a proposed change, asks for confirmation, sends it and, with {@code --wait}, waits until it is in force. */
final class ChangeConfirmation {
    private final Invocation invocation;

    ChangeConfirmation(Invocation invocation) {
        this.invocation = invocation;
    }

    /** A change that is sent once the operator has confirmed it. */
    interface Change {
        JsonNode send() throws AspenmoorException;
    }

    ExitCode run(Proposal proposal, Change change) throws AspenmoorException {
        boolean json = invocation.hasOption(Options.JSON);
        if (!json) {
            invocation.out().println(proposal.name() + " against revision " + proposal.baseRevision() + ":");
            ChangeListPrinter.print(invocation.out(), proposal.answer().path("changes"));
        }
        if (proposal.hasNoChanges()) {
            return ExitCode.DONE;
        }
        if (!invocation.hasOption(Options.YES) && !isConfirmed(proposal)) {
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
        return invocation.hasOption(Options.WAIT) ? awaitInForce(proposal.name(), revision) : ExitCode.DONE;
    }

    private boolean isConfirmed(Proposal proposal) {
        invocation.terminal().error().print("Accept as revision " + (proposal.baseRevision() + 1) + "? [y/N] ");
        invocation.terminal().error().flush();
        Optional<String> answer = invocation.terminal().readLine();
        return answer.map(text -> text.strip().toLowerCase(Locale.ROOT))
                .filter(text -> text.equals("y") || text.equals("yes"))
                .isPresent();
    }

    private ExitCode awaitInForce(ServiceName name, long revision) throws AspenmoorException {
        return new InForceWait(invocation, name, revision).run();
    }
}
