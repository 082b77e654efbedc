package org.aspenmoor.internal.standins.engine;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

public class SequenceSlotsTest {
    @Test
    public void should_admit_the_higher_priority_first_when_several_wait() throws InterruptedException {
        SequenceSlots slots = new SequenceSlots(1);
        BlockingQueue<Integer> entered = new LinkedBlockingQueue<>();
        slots.enter(0);

        for (int priority : List.of(1, 5, 3)) {
            Thread waiting = Thread.ofPlatform().daemon().start(() -> enterAndLeave(slots, priority, entered));
            awaitWaiting(waiting);
        }
        slots.leave();

        assertEquals(entered.poll(30, TimeUnit.SECONDS), Integer.valueOf(5));
        assertEquals(entered.poll(30, TimeUnit.SECONDS), Integer.valueOf(3));
        assertEquals(entered.poll(30, TimeUnit.SECONDS), Integer.valueOf(1));
    }

    private static void enterAndLeave(SequenceSlots slots, int priority, BlockingQueue<Integer> entered) {
        try {
            slots.enter(priority);
            entered.add(priority);
            slots.leave();
        } catch (InterruptedException stopping) {
            Thread.currentThread().interrupt();
        }
    }

    private static void awaitWaiting(Thread thread) {
        while (thread.getState() != Thread.State.WAITING) {
            Thread.onSpinWait();
        }
    }
}
