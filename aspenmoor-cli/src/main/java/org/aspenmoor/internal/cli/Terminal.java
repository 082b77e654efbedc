package org.aspenmoor.internal.cli;

import java.io.PrintStream;
import java.time.Duration;
import java.util.Optional;

/** Streams, environment variables and clock available to a command. */
public interface Terminal {
    /** Returns the stream for results. */
    PrintStream out();

    /** Returns the stream for errors and prompts. */
    PrintStream error();

    /** Reads a line of input; empty at the end of the input. */
    Optional<String> readLine();

    /** Returns the value of an environment variable; empty if it is not set. */
    Optional<String> environmentVariable(String name);

    /** Waits for the given time; returns false if the command should stop instead of continuing. */
    boolean pause(Duration duration);

    /** Returns the time of a monotonic clock, in nanoseconds. */
    long monotonicNanos();
}
