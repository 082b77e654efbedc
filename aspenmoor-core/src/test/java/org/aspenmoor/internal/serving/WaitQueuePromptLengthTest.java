package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.testng.annotations.Test;

public class WaitQueuePromptLengthTest {
    private static final long MILLISECOND = 1_000_000;
    private static final int SEEDS = 20;

    @Test
    public void should_dispatch_a_short_prompt_first_when_a_long_one_arrived_slightly_earlier() {
        WaitQueue<String> queue = new WaitQueue<>();
        queue.add(new WaitQueue.QueuedRequest<>("long", 0.08, 0, 400 * MILLISECOND, 2000 * MILLISECOND));
        queue.add(
                new WaitQueue.QueuedRequest<>("short", 0.005, 50 * MILLISECOND, 450 * MILLISECOND, 2050 * MILLISECOND));

        assertEquals(next(queue, 60), "short");
        assertEquals(next(queue, 60), "long");
    }

    @Test
    public void should_dispatch_a_short_prompt_first_when_both_are_late() {
        WaitQueue<String> queue = new WaitQueue<>();
        queue.add(new WaitQueue.QueuedRequest<>("long", 0.08, 0, 0, 2000 * MILLISECOND));
        queue.add(new WaitQueue.QueuedRequest<>("short", 0.005, 0, 0, 2100 * MILLISECOND));

        assertEquals(next(queue, 500), "short");
    }

    // For three seconds nearly twice as many prompts arrive as engines can compute; one in ten takes as long as seven
    // others. In the order of arrival, a long prompt makes seven callers behind it late or refused.
    @Test
    public void should_serve_more_callers_when_a_burst_has_short_and_long_prompts() {
        double byArrival = 0;
        double byPromptLength = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            byArrival += new Burst(seed, 0).run().servedFraction();
            byPromptLength += new Burst(seed, 1).run().servedFraction();
        }

        assertTrue(
                byPromptLength / SEEDS > byArrival / SEEDS + 0.05,
                byArrival / SEEDS + " served in order of arrival, by prompt length " + byPromptLength / SEEDS);
    }

    // Few callers have the longest prompts, but if none of them were served, the service would be unavailable to them.
    @Test
    public void should_serve_long_prompts_at_least_half_as_often_as_all() {
        double all = 0;
        double longPrompts = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Burst burst = new Burst(seed, 1).run();
            all += burst.servedFraction();
            longPrompts += burst.longServedFraction();
        }

        assertTrue(
                longPrompts > all / 2, longPrompts / SEEDS + " of the long prompts served, " + all / SEEDS + " of all");
    }

    private static String next(WaitQueue<String> queue, long milliseconds) {
        return queue.takeNext(milliseconds * MILLISECOND).orElseThrow().request();
    }

    /** Prompts of two lengths, for a while more than one engine can compute. */
    private static final class Burst {
        private static final long SHORT_MILLISECONDS = 10;
        private static final long LONG_MILLISECONDS = 70;
        private static final double LONG_FRACTION = 0.1;
        private static final double MEAN_MILLISECONDS =
                SHORT_MILLISECONDS + LONG_FRACTION * (LONG_MILLISECONDS - SHORT_MILLISECONDS);
        private static final long OBJECTIVE_MILLISECONDS = 200;
        private static final long DEADLINE_MILLISECONDS = 2000;
        private static final long BURST_START_MILLISECONDS = 1000;
        private static final long BURST_END_MILLISECONDS = 4000;
        private static final long END_MILLISECONDS = 9000;

        private final WaitQueue<Integer> queue = new WaitQueue<>();
        private final List<Long> workMilliseconds = new ArrayList<>();
        private final RandomGenerator random;
        private final double reportedFraction;
        private int served;
        private int longServed;
        private int longPrompts;
        private long freeFrom;

        /**
         * Creates a burst.
         *
         * @param reportedFraction how much of a prompt's length is reported to the queue; 0 for the order of arrival
         */
        Burst(long seed, double reportedFraction) {
            this.random = new SplittableRandom(seed);
            this.reportedFraction = reportedFraction;
        }

        Burst run() {
            for (long now = 0; now < END_MILLISECONDS; now++) {
                double load = now >= BURST_START_MILLISECONDS && now < BURST_END_MILLISECONDS ? 1.9 : 0.5;
                if (random.nextDouble() < load / MEAN_MILLISECONDS) {
                    arrive(now);
                }
                queue.takeUnservable(now * MILLISECOND);
                if (now >= freeFrom && queue.size() > 0) {
                    dispatch(now);
                }
            }
            return this;
        }

        double servedFraction() {
            return (double) served / workMilliseconds.size();
        }

        double longServedFraction() {
            return (double) longServed / longPrompts;
        }

        private void arrive(long now) {
            long work = random.nextDouble() < LONG_FRACTION ? LONG_MILLISECONDS : SHORT_MILLISECONDS;
            longPrompts += work == LONG_MILLISECONDS ? 1 : 0;
            queue.add(new WaitQueue.QueuedRequest<>(
                    workMilliseconds.size(),
                    reportedFraction * work / 1000,
                    now * MILLISECOND,
                    (now + OBJECTIVE_MILLISECONDS) * MILLISECOND,
                    (now + DEADLINE_MILLISECONDS) * MILLISECOND));
            workMilliseconds.add(work);
        }

        private void dispatch(long now) {
            WaitQueue.QueuedRequest<Integer> next =
                    queue.takeNext(now * MILLISECOND).orElseThrow();
            long work = workMilliseconds.get(next.request());
            queue.dispatched(next.objectiveDeadline(), now * MILLISECOND);
            queue.answerStarted(work / 1000.0);
            freeFrom = now + work;
            served++;
            longServed += work == LONG_MILLISECONDS ? 1 : 0;
        }
    }
}
