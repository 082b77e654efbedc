package org.aspenmoor.internal.serving;

/** Whether a backend server takes new work. */
public enum BackendState {
    /** It does. */
    READY,
    /** It finishes what it has and ends soon. */
    DRAINING
}
