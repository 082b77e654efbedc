package org.aspenmoor.internal.cli;

import org.aspenmoor.AspenmoorException;

/** Prints the state of a process. */
final class DumpCommand implements Command {
    @Override
    public String name() {
        return "dump";
    }

    @Override
    public String arguments() {
        return "PROCESS";
    }

    @Override
    public String summary() {
        return "Prints the whole state of a process; takes a token of the platform.";
    }

    @Override
    public ExitCode run(Invocation invocation) throws AspenmoorException {
        String process = invocation.arguments(1).getFirst();
        invocation
                .out()
                .println(invocation
                        .client()
                        .get("dump/" + ServicePaths.encode(process))
                        .toPrettyString());
        return ExitCode.DONE;
    }
}
