package org.aspenmoor.internal.standins.engine;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Limits the number of running sequences; admits waiting ones by descending priority, then in order of arrival. */
final class SequenceSlots {
    private static final Comparator<Waiting> ORDER =
            Comparator.comparingDouble(Waiting::priority).reversed().thenComparingLong(Waiting::arrival);

    private final PriorityQueue<Waiting> waiting = new PriorityQueue<>(ORDER);
    private final int maxRunning;
    private int running;
    private long arrivals;

    SequenceSlots(int maxRunning) {
        this.maxRunning = maxRunning;
    }

    synchronized void enter(double priority) throws InterruptedException {
        Waiting self = new Waiting(priority, arrivals++);
        waiting.add(self);
        try {
            while (running >= maxRunning || !self.equals(waiting.peek())) {
                wait();
            }
        } finally {
            waiting.remove(self);
            notifyAll();
        }
        running++;
    }

    synchronized void leave() {
        running--;
        notifyAll();
    }

    synchronized int running() {
        return running;
    }

    int maxRunning() {
        return maxRunning;
    }

    private record Waiting(double priority, long arrival) {}
}
