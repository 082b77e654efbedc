package org.aspenmoor.internal.cli;

import java.util.List;
import joptsimple.OptionParser;
import org.aspenmoor.AspenmoorException;

/** A command of the operator tool. */
interface Command {
    /** Returns the words that select this command, such as {@code document check}. */
    String name();

    /** Returns the syntax of the arguments as shown in the help. */
    String argumentSyntax();

    /** Returns a one-line description for the help. */
    String summary();

    /** Declares the options of this command in addition to the common ones. */
    default void declareOptions(OptionParser parser) {}

    /** Returns the fixed argument values that shell completion suggests. */
    default List<String> completionWords() {
        return List.of();
    }

    /** Runs the command. */
    ExitCode run(Invocation invocation) throws AspenmoorException;
}
