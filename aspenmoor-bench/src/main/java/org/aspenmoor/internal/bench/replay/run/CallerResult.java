package org.aspenmoor.internal.bench.replay.run;

/** How a caller fared in the end. */
public enum CallerResult {
    /** The day ended before. */
    OPEN,
    /** It got its whole answer. */
    COMPLETE,
    /** It was refused, and its request had not run. */
    REFUSED,
    /** Its request may have run, and it got nothing whole. */
    FAILED
}
