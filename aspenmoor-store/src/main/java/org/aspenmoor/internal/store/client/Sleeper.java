package org.aspenmoor.internal.store.client;

import java.time.Duration;

/** Waits between retries; tests advance a manual clock instead. */
@FunctionalInterface
interface Sleeper {
    /** Waits for about the given time, or less if the thread is interrupted. */
    void sleep(Duration duration);
}
