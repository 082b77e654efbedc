package org.aspenmoor.internal.cli;

import java.io.PrintStream;
import java.time.Duration;
import java.util.Optional;

/** What a command sees of its surroundings. */
public interface Terminal {
    /** Returns where results go. */
    PrintStream out();

    /** Returns where errors and questions go. */
    PrintStream error();

    /** Reads a line that the operator types; empty at the end of the input. */
    Optional<String> readLine();

    /** Returns a variable of the environment. */
    Optional<String> environment(String name);

    /** Waits; returns false where the command should end instead of going on. */
    boolean pause(Duration duration);

    /** Returns nanoseconds on a clock that never steps back. */
    long monotonicNanoseconds();
}
