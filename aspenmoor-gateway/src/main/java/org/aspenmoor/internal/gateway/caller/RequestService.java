package org.aspenmoor.internal.gateway.caller;

import org.aspenmoor.internal.serving.ConnectionLimits;

/** Serves callers' requests; called on the event loop. */
public interface RequestService {
    /** Begins to serve a request. It may be answered before this returns. */
    ActiveRequest serve(IncomingRequest request, CallerLink link);

    /** Drops a request whose caller had left before it could be served. */
    void drop(IncomingRequest request);

    /** Returns what callers' connections may do now. */
    ConnectionLimits limits();

    /** Returns whether the process is about to end, so that connections should not be kept. */
    boolean stopping();

    /** Returns whether more request bodies may be held in memory, given the size of one. */
    boolean reserve(int bytes);

    /** Gives back what was reserved. */
    void release(int bytes);
}
