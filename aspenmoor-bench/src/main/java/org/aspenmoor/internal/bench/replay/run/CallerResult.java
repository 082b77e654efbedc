package org.aspenmoor.internal.bench.replay.run;

/** Final result of a caller. */
public enum CallerResult {
    /** The replay ended before the request did. */
    OPEN,
    /** The caller received a complete answer. */
    COMPLETE,
    /** The request was refused and has not run. */
    REFUSED,
    /** The request may have run, but the caller has no complete answer. */
    FAILED
}
