package org.aspenmoor.internal.gateway.caller;

/** A request that is being served; receives the events of its caller's connection. */
public interface ActiveRequest {
    /** Called when the caller has closed its connection. */
    void callerDisconnected();

    /** Called when the connection's outbound buffer has become full or writable again. */
    void writabilityChanged();

    /** Called repeatedly while the process is stopping; refuses the request if it waits and cannot end in time. */
    void processStopping();

    /** Called shortly before the process ends; answers the request in any case. */
    void processEnding();
}
