package org.aspenmoor.internal.serving.share;

import java.util.ArrayDeque;
import java.util.Queue;
import org.aspenmoor.internal.serving.ReportedLoad;
import org.aspenmoor.internal.serving.SimulatedTime;

/** A plain server with four slots and a queue of eight; it rejects what exceeds them. */
final class SimulatedPlainServer {
    static final int SLOTS = 4;

    private static final int QUEUE = 8;
    private static final long WORK = 100 * ShareSimulation.MILLISECOND;

    private final SimulatedTime time;
    private final Queue<Runnable> waiting = new ArrayDeque<>();
    private int running;

    SimulatedPlainServer(SimulatedTime time) {
        this.time = time;
    }

    /** Accepts a request and calls back when it is done, or returns false. */
    boolean accept(Runnable done) {
        if (running < SLOTS) {
            run(done);
            return true;
        }
        return waiting.size() < QUEUE && waiting.add(done);
    }

    ReportedLoad load() {
        return ReportedLoad.of(running, waiting.size(), SLOTS);
    }

    private void run(Runnable done) {
        running++;
        time.at(time.now() + WORK, () -> {
            running--;
            done.run();
            if (!waiting.isEmpty()) {
                run(waiting.remove());
            }
        });
    }
}
