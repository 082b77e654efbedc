package org.aspenmoor.internal.gateway.caller;

/** A request that is being served; receives the events of its caller's connection. */
public interface ActiveRequest {
    /** Called when the caller has closed its connection. */
    void callerDisconnected();

    /** Called when the connection's outbound buffer has become full or writable again. */
    void writabilityChanged();
}
