package org.aspenmoor.internal.bench.soak;

/** Ends the action of a process that is killed in the middle of a call; nothing below may catch it. */
final class ProcessKilledError extends Error {
    private static final long serialVersionUID = 1L;

    ProcessKilledError() {
        super("killed in a call", null, false, false);
    }
}
