package org.aspenmoor.internal.cli;

/** Result of a command. Scripts rely on the numbers, so the meaning of a number never changes. */
public enum ExitCode {
    /** The command succeeded. */
    DONE(0),
    /** The tool or the entry failed with an internal error. */
    INTERNAL_ERROR(1),
    /** The command line is invalid. */
    USAGE(2),
    /** The document has mistakes; nothing was changed. */
    MISTAKES(3),
    /** Another operator changed the document in the meantime; nothing was changed. */
    CONFLICT(4),
    /** The entry refused the call: wrong token, insufficient scope, or no such object; nothing was changed. */
    REFUSED(5),
    /** The entry or the store cannot be reached; nothing was changed. */
    UNAVAILABLE(6),
    /** It is unknown whether the change was accepted; check the history of the document. */
    UNKNOWN(7),
    /** The change was accepted, but did not come into force in every process before the timeout. */
    NOT_YET_IN_FORCE(8),
    /** The operator did not confirm the change; nothing was changed. */
    DECLINED(9);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /** Returns the exit code of the process. */
    public int number() {
        return number;
    }
}
