package org.aspenmoor.internal.administration;

/** Whether a backend server accepts new work, as known to this entry. */
public enum BackendState {
    /** Accepts requests. */
    READY,
    /** Connected, but currently accepts no requests: it loads a model or changes its role. */
    AWAY,
    /** Finishes its running requests and accepts no new ones. */
    LEAVING,
    /** This entry has no connection to its agent. */
    UNREACHABLE
}
