package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class WaitQueueTest {
    private static final long MILLISECOND = 1_000_000;
    private static final long OBJECTIVE_MILLISECONDS = 200;
    private static final long DEADLINE_MILLISECONDS = 2000;

    /** From dispatch to the first byte of the answer: the engine's queue, the prompt and the first token. */
    private static final long ANSWER_MILLISECONDS = 100;

    private static final long BURST_START_MILLISECONDS = 3_000;
    private static final long BURST_END_MILLISECONDS = 6_000;
    private static final long END_MILLISECONDS = 12_000;

    private WaitQueue<Integer> queue;

    @BeforeMethod
    public void createQueue() {
        queue = new WaitQueue<>();
    }

    @Test
    public void should_dispatch_requests_that_can_be_on_time_first_in_the_order_of_their_arrival() {
        queue.add(queued(1, 0, -10));
        queue.add(queued(2, 0, 150));
        queue.add(queued(3, 10, 160));

        assertEquals(next(20), 2);
        assertEquals(next(20), 3);
        assertEquals(next(20), 1);
    }

    @Test
    public void should_dispatch_late_requests_in_the_order_of_their_deadlines() {
        queue.add(new WaitQueue.QueuedRequest<>(1, 0.01, 0, 0, 900 * MILLISECOND));
        queue.add(new WaitQueue.QueuedRequest<>(2, 0.01, 0, 0, 800 * MILLISECOND));

        assertEquals(next(400), 2);
        assertEquals(next(400), 1);
    }

    // A request that cannot be answered before its deadline only keeps its caller waiting for a refusal that is already
    // certain.
    @Test
    public void should_refuse_at_once_when_the_deadline_cannot_be_met() {
        queue.add(new WaitQueue.QueuedRequest<>(1, 0.01, 0, 0, 50 * MILLISECOND));
        queue.add(new WaitQueue.QueuedRequest<>(2, 0.01, 0, 0, 500 * MILLISECOND));

        assertEquals(queue.takeUnservable(10 * MILLISECOND), List.of(1));
        assertEquals(queue.size(), 1);
    }

    @Test
    public void should_remove_a_request_when_its_caller_has_left() {
        queue.add(queued(1, 0, 200));
        queue.remove(1);

        assertEquals(queue.size(), 0);
        assertTrue(queue.takeNext(0).isEmpty());
    }

    // For three seconds 1.8 times as many prompts arrive as can be computed, then less than half of what can be
    // computed. In order of arrival, all callers in the burst and for two seconds after it would be answered late.
    @Test
    public void should_answer_as_many_requests_on_time_as_engines_can_compute_during_a_burst() {
        Simulation simulation = new Simulation(1.8, 0.4);
        simulation.run();

        int capacity = (int) ((BURST_END_MILLISECONDS - BURST_START_MILLISECONDS) / Simulation.SERVICE_MILLISECONDS);
        assertTrue(
                simulation.onTimeInBurst > 0.75 * capacity,
                simulation.onTimeInBurst + " of " + simulation.arrivedInBurst
                        + " on time during the burst, with capacity for " + capacity);
        assertTrue(
                simulation.onTimeAfterBurst > 0.9 * simulation.arrivedAfterBurst,
                simulation.onTimeAfterBurst + " of " + simulation.arrivedAfterBurst + " on time after the burst");
    }

    // The burst ends before the deadlines of the late requests, so they can be served after it.
    @Test
    public void should_serve_late_requests_when_the_burst_is_over() {
        Simulation simulation = new Simulation(1.8, 0.4);
        simulation.run();

        assertTrue(simulation.servedLate > 20, simulation.servedLate + " were served late");
        assertEquals(simulation.refusedAfterDeadline, 0, "no request may be refused only after its deadline");
    }

    @Test
    public void should_refuse_nothing_when_the_load_is_below_capacity() {
        Simulation simulation = new Simulation(0.7, 0.7);
        simulation.run();

        assertEquals(simulation.refused, 0);
    }

    private int next(long milliseconds) {
        return queue.takeNext(milliseconds * MILLISECOND).orElseThrow().request();
    }

    private static WaitQueue.QueuedRequest<Integer> queued(int request, long arrived, long objectiveDeadline) {
        return new WaitQueue.QueuedRequest<>(
                request,
                0.01,
                arrived * MILLISECOND,
                objectiveDeadline * MILLISECOND,
                (arrived + DEADLINE_MILLISECONDS) * MILLISECOND);
    }

    /**
     * Requests that arrive at random, more of them during the burst, and engines that accept one request at fixed
     * intervals.
     */
    private static final class Simulation {
        static final long SERVICE_MILLISECONDS = 28;

        private final WaitQueue<Integer> queue = new WaitQueue<>();
        private final List<Long> arrivals = new ArrayList<>();
        private final Random random = new Random(7);
        private final double burstLoad;
        private final double normalLoad;
        private long freeFrom;
        private int arrivedInBurst;
        private int onTimeInBurst;
        private int arrivedAfterBurst;
        private int onTimeAfterBurst;
        private int servedLate;
        private int refused;
        private int refusedAfterDeadline;

        Simulation(double burstLoad, double normalLoad) {
            this.burstLoad = burstLoad;
            this.normalLoad = normalLoad;
        }

        void run() {
            for (long now = 0; now < END_MILLISECONDS; now++) {
                boolean inBurst = now >= BURST_START_MILLISECONDS && now < BURST_END_MILLISECONDS;
                if (random.nextDouble() < (inBurst ? burstLoad : normalLoad) / SERVICE_MILLISECONDS) {
                    arrive(now, inBurst);
                }
                for (int unservable : queue.takeUnservable(now * MILLISECOND)) {
                    refused++;
                    refusedAfterDeadline += now - arrivals.get(unservable) >= DEADLINE_MILLISECONDS ? 1 : 0;
                }
                if (now >= freeFrom && queue.size() > 0) {
                    dispatch(now);
                }
            }
        }

        private void arrive(long now, boolean inBurst) {
            int request = arrivals.size();
            arrivals.add(now);
            queue.add(queued(request, now, now + OBJECTIVE_MILLISECONDS));
            arrivedInBurst += inBurst ? 1 : 0;
            arrivedAfterBurst += now >= BURST_END_MILLISECONDS + SERVICE_MILLISECONDS ? 1 : 0;
        }

        private void dispatch(long now) {
            WaitQueue.QueuedRequest<Integer> next =
                    queue.takeNext(now * MILLISECOND).orElseThrow();
            queue.dispatched(next.objectiveDeadline(), now * MILLISECOND);
            queue.answerStarted(ANSWER_MILLISECONDS / 1000.0);
            freeFrom = now + SERVICE_MILLISECONDS;
            long arrived = arrivals.get(next.request());
            long took = now + ANSWER_MILLISECONDS - arrived;
            assertFalse(
                    took > DEADLINE_MILLISECONDS, "a request was dispatched without enough time left for its answer");
            if (took > OBJECTIVE_MILLISECONDS) {
                servedLate++;
            } else if (arrived >= BURST_START_MILLISECONDS && arrived < BURST_END_MILLISECONDS) {
                onTimeInBurst++;
            } else if (arrived >= BURST_END_MILLISECONDS + SERVICE_MILLISECONDS) {
                onTimeAfterBurst++;
            }
        }
    }
}
