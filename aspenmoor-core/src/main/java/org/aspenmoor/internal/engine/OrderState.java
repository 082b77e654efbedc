package org.aspenmoor.internal.engine;

/** How far an engine is with an order. */
public enum OrderState {
    /** The engine knows nothing of it. */
    NEVER_SEEN,
    /** Being carried out; the engine serves nothing meanwhile. */
    RUNNING,
    /** Carried out. */
    DONE,
    /** Given up halfway; the engine is in the state it reports. */
    FAILED
}
