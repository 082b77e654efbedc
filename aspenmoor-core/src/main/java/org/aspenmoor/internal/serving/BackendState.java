package org.aspenmoor.internal.serving;

/** Whether a backend server accepts new work. */
public enum BackendState {
    /** It accepts new work. */
    READY,
    /** It finishes its current requests and terminates soon. */
    DRAINING
}
