package org.aspenmoor.internal.cli;

/** How a command ended; scripts rely on the numbers, so none is ever given another meaning. */
public enum ExitCode {
    /** Done. */
    DONE(0),
    /** The tool or the entry met an error of its own. */
    INTERNAL_ERROR(1),
    /** The command line is wrong. */
    USAGE(2),
    /** The document has mistakes; nothing was changed. */
    MISTAKES(3),
    /** Somebody else changed the document first; nothing was changed. */
    CONFLICT(4),
    /** The entry refused: wrong token, out of scope, or no such thing; nothing was changed. */
    REFUSED(5),
    /** The entry or the store cannot be reached; nothing was changed. */
    UNAVAILABLE(6),
    /** Nobody knows whether the change was accepted; look at the history. */
    UNKNOWN(7),
    /** The change is accepted, and was not in force everywhere in the time given. */
    NOT_YET_IN_FORCE(8),
    /** The operator answered no; nothing was changed. */
    DECLINED(9);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /** Returns the number that the process ends with. */
    public int number() {
        return number;
    }
}
