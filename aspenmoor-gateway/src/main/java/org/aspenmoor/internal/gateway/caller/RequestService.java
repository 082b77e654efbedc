package org.aspenmoor.internal.gateway.caller;

import org.aspenmoor.internal.serving.ConnectionLimits;

/** Serves the requests of callers. All methods are called on the event loop. */
public interface RequestService {
    /** Starts serving a request; the answer may be sent before this method returns. */
    ActiveRequest serve(IncomingRequest request, AnswerWriter answerWriter);

    /** Answers a request, which is not served, that the process is stopping. */
    ActiveRequest refuse(IncomingRequest request, AnswerWriter answerWriter);

    /** Discards a request whose caller disconnected before serving started. */
    void discard(IncomingRequest request);

    /** Returns the limits that currently apply to the connections of callers. */
    ConnectionLimits connectionLimits();

    /** Returns whether the process is shutting down, so that connections are closed after their current request. */
    boolean stopping();

    /** Reserves memory for a part of a request body; returns false if the limit would be exceeded. */
    boolean reserveBodyBytes(int bytes);

    /** Releases reserved memory. */
    void releaseBodyBytes(int bytes);
}
