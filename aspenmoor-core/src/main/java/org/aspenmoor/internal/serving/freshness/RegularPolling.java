package org.aspenmoor.internal.serving.freshness;

import java.time.Duration;

/**
 * How an entry polls a collection when no other entry confirms its state.
 *
 * @param storeWait how long a poll waits at the store for changes
 * @param pauseAfterChanges pause after a poll that returned changes
 */
public record RegularPolling(Duration storeWait, Duration pauseAfterChanges) {}
