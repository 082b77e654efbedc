package org.aspenmoor.internal.agent;

import org.aspenmoor.internal.wire.v1.Dispatch;

/** Starts calls to the backend server. */
interface BackendCaller {
    /** Starts the call requested by a dispatch. */
    BackendCall start(AttemptKey key, Dispatch dispatch);
}
