package org.aspenmoor.internal.cli;

import org.aspenmoor.AspenmoorException;

/** Prints the complete state of a process as JSON. */
final class DumpCommand implements Command {
    @Override
    public String name() {
        return "dump";
    }

    @Override
    public String argumentSyntax() {
        return "PROCESS";
    }

    @Override
    public String summary() {
        return "Prints the complete state of a process; requires an operator token for the whole platform.";
    }

    @Override
    public ExitCode run(Invocation invocation) throws AspenmoorException {
        String process = invocation.requireArguments(1).getFirst();
        invocation
                .out()
                .println(invocation
                        .client()
                        .get("dump/" + ServicePaths.encode(process))
                        .toPrettyString());
        return ExitCode.DONE;
    }
}
