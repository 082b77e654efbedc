package org.aspenmoor.internal.cli;

import joptsimple.OptionParser;
import org.aspenmoor.AspenmoorException;

/** Accepts a document from a file after showing its changes and asking for confirmation. */
final class DocumentAcceptCommand implements Command {
    @Override
    public String name() {
        return "document accept";
    }

    @Override
    public String argumentSyntax() {
        return "FILE";
    }

    @Override
    public String summary() {
        return "Shows what a file changes, including the effect on engines, asks for confirmation, and accepts it.";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        Options.declareChangeOptions(parser);
        parser.accepts(
                        Options.BASE,
                        "revision that the file is based on; default: the revision in the file, else the current one")
                .withRequiredArg()
                .ofType(Long.class);
    }

    @Override
    public ExitCode run(Invocation invocation) throws AspenmoorException {
        String file = invocation.requireArguments(1).getFirst();
        Proposal proposal = Proposal.ofFile(invocation, file);
        return new ChangeConfirmation(invocation)
                .run(
                        proposal,
                        () -> invocation
                                .client()
                                .put(ServicePaths.of(proposal.name()), proposal.baseRevision(), proposal.text()));
    }
}
