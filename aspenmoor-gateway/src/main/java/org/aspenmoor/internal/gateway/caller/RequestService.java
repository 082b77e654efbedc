package org.aspenmoor.internal.gateway.caller;

import org.aspenmoor.internal.serving.ConnectionLimits;

/** Serves the requests of callers. All methods are called on the event loop. */
public interface RequestService {
    /** Starts serving a request; the answer may be sent before this method returns. */
    ActiveRequest serve(IncomingRequest request, CallerLink link);

    /** Discards a request whose caller disconnected before serving started. */
    void drop(IncomingRequest request);

    /** Returns the limits that currently apply to the connections of callers. */
    ConnectionLimits limits();

    /** Returns whether the process is shutting down, so that connections are closed after their current request. */
    boolean stopping();

    /** Reserves memory for a part of a request body; returns false if the limit would be exceeded. */
    boolean reserve(int bytes);

    /** Releases reserved memory. */
    void release(int bytes);
}
