package org.aspenmoor.internal.agent;

/** A running call to the backend server; its events go to the event loop. */
interface BackendCall {
    /** Asks for more of the answer; until then the backend server is held back by its own connection. */
    void requestMore();

    /** Ends the call; the backend server sees its connection closed and stops. */
    void cancel();
}
