package org.aspenmoor.internal.gateway.standin;

import java.util.concurrent.CountDownLatch;

/** Waits in scripts of stand-ins, which cannot throw. */
public final class Waiting {
    private Waiting() {}

    /** Waits until the latch is open, or until the thread is to end. */
    public static void on(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
