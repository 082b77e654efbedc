package org.aspenmoor.internal.gateway.caller;

/** A request that is being served, as its caller's connection sees it. */
public interface ActiveRequest {
    /** The caller has left. */
    void callerLeft();

    /** Whether the caller takes more has changed. */
    void writabilityChanged();
}
