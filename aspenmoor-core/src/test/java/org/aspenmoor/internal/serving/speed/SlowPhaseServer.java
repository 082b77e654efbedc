package org.aspenmoor.internal.serving.speed;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.BackendState;
import org.aspenmoor.internal.serving.SoftwareVersion;

/** A server whose host is slow for a while at times; times are in nanoseconds. */
final class SlowPhaseServer {
    static final String SERVICE = "service";
    static final double SLOWDOWN = 2.5;

    private static final long SLOW_PHASE = 600 * SpeedSimulation.MILLISECOND;
    private static final double SLOW_FRACTION = 0.15;
    private static final double MEAN_USUAL_PHASE = SLOW_PHASE * (1 - SLOW_FRACTION) / SLOW_FRACTION;

    private final BackendServer registration;
    private final SpeedScenario.Fleet fleet;
    private final double speed;
    private final List<Long> slowFrom = new ArrayList<>();
    private final PriorityQueue<Long> ends = new PriorityQueue<>();

    SlowPhaseServer(int index, SpeedScenario.Fleet fleet, long until, SplittableRandom random) {
        this.registration = new BackendServer(
                "server-" + index,
                1,
                SERVICE,
                new SoftwareVersion("one"),
                "127.0.0.1",
                index,
                "here",
                fleet.slots(),
                BackendState.READY,
                EngineRole.WHOLE);
        this.fleet = fleet;
        this.speed = fleet.speeds().get(index % fleet.speeds().size());
        long at = 0;
        while (at < until) {
            at += (long) (-Math.log(1 - random.nextDouble()) * MEAN_USUAL_PHASE);
            slowFrom.add(at);
            at += SLOW_PHASE;
        }
    }

    BackendServer registration() {
        return registration;
    }

    double speed() {
        return speed;
    }

    double slowdown(long now) {
        return slowFrom.stream().anyMatch(from -> now >= from && now < from + SLOW_PHASE) ? SLOWDOWN : 1;
    }

    /** Returns when a request that arrives now is answered. */
    long answerAt(long now) {
        List<Long> later = ends.stream().filter(end -> end > now).sorted().toList();
        long from = later.size() < fleet.parallelism() ? now : later.get(later.size() - fleet.parallelism());
        return end(from);
    }

    /** Accepts a request; returns when it is answered. */
    long accept(long now) {
        long end = answerAt(now);
        while (!ends.isEmpty() && ends.peek() <= now) {
            ends.poll();
        }
        ends.add(end);
        return end;
    }

    /** Returns how many requests are at the server. */
    int requests(long now) {
        return (int) ends.stream().filter(end -> end > now).count();
    }

    private long end(long from) {
        double left = fleet.work() / speed;
        long at = from;
        for (long slow : slowFrom) {
            if (slow + SLOW_PHASE <= at) {
                continue;
            }
            if (at < slow) {
                if (at + left <= slow) {
                    return at + (long) left;
                }
                left -= slow - at;
                at = slow;
            }
            double done = (slow + SLOW_PHASE - at) / SLOWDOWN;
            if (left <= done) {
                return at + (long) (left * SLOWDOWN);
            }
            left -= done;
            at = slow + SLOW_PHASE;
        }
        return at + (long) left;
    }
}
