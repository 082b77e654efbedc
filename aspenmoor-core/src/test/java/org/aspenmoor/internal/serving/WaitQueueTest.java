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
    private static final long AIM_MILLISECONDS = 200;
    private static final long DEADLINE_MILLISECONDS = 2000;

    /** From the departure to the answer: the engine's queue, the prompt and the first token. */
    private static final long ANSWER_MILLISECONDS = 100;

    private static final long BURST_FROM = 3_000;
    private static final long BURST_TO = 6_000;
    private static final long END = 12_000;

    private WaitQueue<Integer> line;

    @BeforeMethod
    public void start() {
        line = new WaitQueue<>();
    }

    @Test
    public void should_send_those_first_that_can_be_on_time_in_the_order_of_their_arrival() {
        line.add(waiting(1, 0, -10));
        line.add(waiting(2, 0, 150));
        line.add(waiting(3, 10, 160));

        assertEquals(next(20), 2);
        assertEquals(next(20), 3);
        assertEquals(next(20), 1);
    }

    @Test
    public void should_send_late_ones_in_the_order_of_their_deadlines() {
        line.add(new WaitQueue.QueuedRequest<>(1, 0.01, 0, 0, 900 * MILLISECOND));
        line.add(new WaitQueue.QueuedRequest<>(2, 0.01, 0, 0, 800 * MILLISECOND));

        assertEquals(next(400), 2);
        assertEquals(next(400), 1);
    }

    // What cannot be answered before its deadline only keeps its caller waiting for a refusal that is certain already.
    @Test
    public void should_give_up_at_once_what_cannot_be_answered_before_its_deadline() {
        line.add(new WaitQueue.QueuedRequest<>(1, 0.01, 0, 0, 50 * MILLISECOND));
        line.add(new WaitQueue.QueuedRequest<>(2, 0.01, 0, 0, 500 * MILLISECOND));

        assertEquals(line.takeUnservable(10 * MILLISECOND), List.of(1));
        assertEquals(line.size(), 1);
    }

    @Test
    public void should_forget_a_request_whose_caller_has_left() {
        line.add(waiting(1, 0, 200));
        line.remove(1);

        assertEquals(line.size(), 0);
        assertTrue(line.takeNext(0).isEmpty());
    }

    // For three seconds 1.8 times as many prompts come as can be computed, then less than half. First come first
    // served,
    // everybody in the burst and for two seconds after it is late; the callers' screens wait for no reason that helps
    // anybody.
    @Test
    public void should_answer_on_time_as_many_as_there_is_room_for_in_a_burst() {
        Replay replay = new Replay(1.8, 0.4);
        replay.run();

        int room = (int) ((BURST_TO - BURST_FROM) / Replay.SERVICE_MILLISECONDS);
        assertTrue(
                replay.onTimeInBurst > 0.75 * room,
                replay.onTimeInBurst + " of " + replay.inBurst + " on time, with room for " + room);
        assertTrue(replay.onTimeAfter > 0.9 * replay.after, replay.onTimeAfter + " of " + replay.after + " after it");
    }

    // The burst is over before the deadlines of those that are late, so that they can be served in the calm after it.
    @Test
    public void should_serve_late_ones_when_the_burst_is_over() {
        Replay replay = new Replay(1.8, 0.4);
        replay.run();

        assertTrue(replay.late > 20, replay.late + " were served late");
        assertEquals(replay.heldPastDeadline, 0, "nobody is kept until there is no time left");
    }

    // Nothing is refused where all can be served.
    @Test
    public void should_refuse_nobody_below_the_pace_of_the_engines() {
        Replay replay = new Replay(0.7, 0.7);
        replay.run();

        assertEquals(replay.refused, 0);
    }

    private int next(long milliseconds) {
        return line.takeNext(milliseconds * MILLISECOND).orElseThrow().request();
    }

    private static WaitQueue.QueuedRequest<Integer> waiting(int request, long arrived, long aim) {
        return new WaitQueue.QueuedRequest<>(
                request,
                0.01,
                arrived * MILLISECOND,
                aim * MILLISECOND,
                (arrived + DEADLINE_MILLISECONDS) * MILLISECOND);
    }

    /** Requests that come at random, more of them in the burst, and engines that take one every so often. */
    private static final class Replay {
        static final long SERVICE_MILLISECONDS = 28;

        private final WaitQueue<Integer> line = new WaitQueue<>();
        private final List<Long> arrivals = new ArrayList<>();
        private final Random random = new Random(7);
        private final double burst;
        private final double calm;
        private long freeFrom;
        private int inBurst;
        private int onTimeInBurst;
        private int after;
        private int onTimeAfter;
        private int late;
        private int refused;
        private int heldPastDeadline;

        Replay(double burst, double calm) {
            this.burst = burst;
            this.calm = calm;
        }

        void run() {
            for (long now = 0; now < END; now++) {
                boolean bursting = now >= BURST_FROM && now < BURST_TO;
                if (random.nextDouble() < (bursting ? burst : calm) / SERVICE_MILLISECONDS) {
                    arrive(now, bursting);
                }
                for (int hopeless : line.takeUnservable(now * MILLISECOND)) {
                    refused++;
                    heldPastDeadline += now - arrivals.get(hopeless) >= DEADLINE_MILLISECONDS ? 1 : 0;
                }
                if (now >= freeFrom && line.size() > 0) {
                    depart(now);
                }
            }
        }

        private void arrive(long now, boolean bursting) {
            int request = arrivals.size();
            arrivals.add(now);
            line.add(waiting(request, now, now + AIM_MILLISECONDS));
            inBurst += bursting ? 1 : 0;
            after += now >= BURST_TO + SERVICE_MILLISECONDS ? 1 : 0;
        }

        private void depart(long now) {
            WaitQueue.QueuedRequest<Integer> next = line.takeNext(now * MILLISECOND).orElseThrow();
            line.dispatched(next.objectiveDeadline(), now * MILLISECOND);
            line.answerStarted(ANSWER_MILLISECONDS / 1000.0);
            freeFrom = now + SERVICE_MILLISECONDS;
            long arrived = arrivals.get(next.request());
            long took = now + ANSWER_MILLISECONDS - arrived;
            assertFalse(took > DEADLINE_MILLISECONDS, "a request left for an engine without the time for its answer");
            if (took > AIM_MILLISECONDS) {
                late++;
            } else if (arrived >= BURST_FROM && arrived < BURST_TO) {
                onTimeInBurst++;
            } else if (arrived >= BURST_TO + SERVICE_MILLISECONDS) {
                onTimeAfter++;
            }
        }
    }
}
