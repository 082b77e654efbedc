package org.aspenmoor.internal.cli;

import joptsimple.OptionParser;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.document.ServiceName;

/** Waits until a revision of a document is in force in every process. */
final class WaitCommand implements Command {
    @Override
    public String name() {
        return "wait";
    }

    @Override
    public String argumentSyntax() {
        return "--in-force TEAM/SERVICE";
    }

    @Override
    public String summary() {
        return "Waits until a revision of a document is in force in every process.";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.accepts(Options.IN_FORCE, "the service to wait for").withRequiredArg();
        parser.accepts(Options.REVISION, "revision to wait for; default: the current revision in the store")
                .withRequiredArg()
                .ofType(Long.class);
        Options.declareTimeoutOption(parser);
    }

    @Override
    public ExitCode run(Invocation invocation) throws AspenmoorException {
        String argument = invocation
                .optionValue(Options.IN_FORCE)
                .orElseThrow(() -> new UsageException(
                        "The option --in-force, which gives the service to wait for, is missing.", name()));
        ServiceName name = invocation.parseServiceName(argument);
        return new InForceWait(invocation, name, targetRevision(invocation, name)).run();
    }

    private static long targetRevision(Invocation invocation, ServiceName name) throws AspenmoorException {
        if (invocation.hasOption(Options.REVISION)) {
            return invocation.optionNumber(Options.REVISION).getAsLong();
        }
        return invocation.client().get(ServicePaths.of(name)).path("revision").asLong();
    }
}
