package org.aspenmoor.internal.cli;

/** Entry point of the operator tool. */
public final class Main {
    private Main() {}

    /** Runs one command and exits the process with its exit code. */
    public static void main(String[] arguments) {
        ExitCode code = new OperatorTool(new SystemTerminal()).run(arguments);
        System.exit(code.number());
    }
}
