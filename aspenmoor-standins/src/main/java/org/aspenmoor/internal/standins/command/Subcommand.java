package org.aspenmoor.internal.standins.command;

import java.io.IOException;
import java.io.PrintStream;
import org.aspenmoor.AspenmoorException;

/** One subcommand of the program. */
public interface Subcommand {
    /** Returns the word that chooses it. */
    String name();

    /** Returns one line about it. */
    String summary();

    /** Runs it and returns the exit code. */
    int run(PrintStream output, String... arguments) throws AspenmoorException, IOException, InterruptedException;
}
