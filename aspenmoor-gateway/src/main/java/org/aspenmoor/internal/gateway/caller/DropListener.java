package org.aspenmoor.internal.gateway.caller;

import java.time.Duration;

/** Receives the callers that are dropped because they do not read. */
@FunctionalInterface
public interface DropListener {
    /**
     * Called after a caller has been dropped.
     *
     * @param bytes the bytes that waited for it
     * @param unread how long it had read nothing
     */
    void dropped(long bytes, Duration unread);
}
