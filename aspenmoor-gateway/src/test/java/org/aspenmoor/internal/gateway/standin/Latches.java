package org.aspenmoor.internal.gateway.standin;

import java.util.concurrent.CountDownLatch;

/** Waits without checked exceptions, for use in scripts of stand-ins. */
public final class Latches {
    private Latches() {}

    /** Waits until the latch is open or the thread is interrupted; keeps the interrupt status. */
    public static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
