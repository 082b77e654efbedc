package org.aspenmoor.internal.cli;

import java.util.List;
import joptsimple.OptionParser;
import org.aspenmoor.AspenmoorException;

/** One command of the tool. */
interface Command {
    /** Returns the words that call it, such as {@code document check}. */
    String name();

    /** Returns its arguments as the help shows them. */
    String arguments();

    /** Returns what it does, in one line. */
    String summary();

    /** Declares its own options beside the common ones. */
    default void declare(OptionParser parser) {}

    /** Returns fixed words that may follow it, for completion. */
    default List<String> words() {
        return List.of();
    }

    /** Runs it. */
    ExitCode run(Invocation invocation) throws AspenmoorException;
}
