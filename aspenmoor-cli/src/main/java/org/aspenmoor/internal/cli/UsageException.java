package org.aspenmoor.internal.cli;

import org.aspenmoor.AspenmoorException;

/** The command line is wrong. */
final class UsageException extends AspenmoorException {
    private static final long serialVersionUID = 1L;

    UsageException(String problem, String command) {
        super(problem, command, "Run \"aspenmoor " + command + " --help\" and call it as shown there.");
    }

    UsageException(String problem, String place, String remedy) {
        super(problem, place, remedy);
    }
}
