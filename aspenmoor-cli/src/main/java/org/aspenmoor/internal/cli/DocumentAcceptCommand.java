package org.aspenmoor.internal.cli;

import joptsimple.OptionParser;
import org.aspenmoor.AspenmoorException;

/** Accepts a file after showing what it changes. */
final class DocumentAcceptCommand implements Command {
    @Override
    public String name() {
        return "document accept";
    }

    @Override
    public String arguments() {
        return "FILE";
    }

    @Override
    public String summary() {
        return "Shows what a file changes, also on engines, asks, and accepts it.";
    }

    @Override
    public void declare(OptionParser parser) {
        Options.declareChange(parser);
        parser.accepts(Options.BASE, "the revision that the file was made from; else the one in the file")
                .withRequiredArg()
                .ofType(Long.class);
    }

    @Override
    public ExitCode run(Invocation invocation) throws AspenmoorException {
        String file = invocation.arguments(1).getFirst();
        Proposal proposal = Proposal.ofFile(invocation, file);
        return new ChangeDialogue(invocation)
                .run(
                        proposal,
                        () -> invocation
                                .client()
                                .put(ServicePaths.of(proposal.name()), proposal.readRevision(), proposal.text()));
    }
}
