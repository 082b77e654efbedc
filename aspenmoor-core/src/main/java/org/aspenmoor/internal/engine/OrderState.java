package org.aspenmoor.internal.engine;

/** The state of an order as its engine reports it. */
public enum OrderState {
    /** The engine has no record of the order. */
    NEVER_SEEN,
    /** Being executed; the engine serves no requests meanwhile. */
    RUNNING,
    /** Executed. */
    DONE,
    /** Aborted; the engine is in the state that it reports. */
    FAILED
}
