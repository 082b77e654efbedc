package org.aspenmoor.internal.store.client;

import java.time.Duration;

/** Waits between repetitions; tests move a manual clock instead. */
@FunctionalInterface
interface Pauser {
    /** Waits for about the given time, less where the thread is interrupted. */
    void pause(Duration duration);
}
