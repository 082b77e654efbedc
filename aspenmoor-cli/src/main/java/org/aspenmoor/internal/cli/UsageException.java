package org.aspenmoor.internal.cli;

import org.aspenmoor.AspenmoorException;

/** Thrown when the command line is invalid. */
final class UsageException extends AspenmoorException {
    private static final long serialVersionUID = 1L;

    UsageException(String problem, String command) {
        super(problem, command, "Run \"aspenmoor " + command + " --help\" to see its usage.");
    }

    UsageException(String problem, String location, String remedy) {
        super(problem, location, remedy);
    }
}
