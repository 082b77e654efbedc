package org.aspenmoor.internal.administration;

/** Whether a backend server takes new work, as this entry sees it. */
public enum BackendState {
    /** Takes requests. */
    READY,
    /** Answers, and takes nothing now: it loads or changes role. */
    AWAY,
    /** Ends what it runs and takes nothing new. */
    LEAVING,
    /** No connection to its agent. */
    UNREACHABLE
}
