package org.aspenmoor.internal.cli;

import joptsimple.OptionParser;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.document.ServiceName;

/** Waits until a revision is in force everywhere. */
final class WaitCommand implements Command {
    @Override
    public String name() {
        return "wait";
    }

    @Override
    public String arguments() {
        return "--in-force TEAM/SERVICE";
    }

    @Override
    public String summary() {
        return "Waits until a document's revision is in force in every process.";
    }

    @Override
    public void declare(OptionParser parser) {
        parser.accepts(Options.IN_FORCE, "the service to wait for").withRequiredArg();
        parser.accepts(Options.REVISION, "the revision; else the one that the store holds")
                .withRequiredArg()
                .ofType(Long.class);
        Options.declareTimeout(parser);
    }

    @Override
    public ExitCode run(Invocation invocation) throws AspenmoorException {
        String argument = invocation
                .text(Options.IN_FORCE)
                .orElseThrow(() -> new UsageException("The command does not say what to wait for.", name()));
        ServiceName name = invocation.service(argument);
        return new InForceWait(invocation, name, revision(invocation, name)).run();
    }

    private static long revision(Invocation invocation, ServiceName name) throws AspenmoorException {
        if (invocation.has(Options.REVISION)) {
            return invocation.number(Options.REVISION).getAsLong();
        }
        return invocation.client().get(ServicePaths.of(name)).path("revision").asLong();
    }
}
