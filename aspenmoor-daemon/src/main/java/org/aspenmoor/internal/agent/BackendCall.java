package org.aspenmoor.internal.agent;

/** A running call to the backend server. Its events are sent to the event loop. */
interface BackendCall {
    /** Requests more of the answer. Until then, flow control on the connection holds the backend server back. */
    void requestMore();

    /** Cancels the call. The backend server sees its connection closed and stops. */
    void cancel();
}
