package org.aspenmoor.internal.standins.command;

import java.io.IOException;
import java.io.PrintStream;
import org.aspenmoor.AspenmoorException;

/** A subcommand of the program. */
public interface Subcommand {
    /** Returns the name on the command line. */
    String name();

    /** Returns a one-line description. */
    String summary();

    /** Runs the subcommand and returns its exit code. */
    int run(PrintStream output, String... arguments) throws AspenmoorException, IOException, InterruptedException;
}
