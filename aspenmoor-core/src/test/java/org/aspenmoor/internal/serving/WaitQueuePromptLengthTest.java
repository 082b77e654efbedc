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
    public void should_send_a_short_prompt_before_a_long_one_that_came_a_little_earlier() {
        WaitQueue<String> line = new WaitQueue<>();
        line.add(new WaitQueue.QueuedRequest<>("long", 0.08, 0, 400 * MILLISECOND, 2000 * MILLISECOND));
        line.add(new WaitQueue.QueuedRequest<>("short", 0.005, 50 * MILLISECOND, 450 * MILLISECOND, 2050 * MILLISECOND));

        assertEquals(next(line, 60), "short");
        assertEquals(next(line, 60), "long");
    }

    @Test
    public void should_send_a_late_short_prompt_before_a_late_long_one() {
        WaitQueue<String> line = new WaitQueue<>();
        line.add(new WaitQueue.QueuedRequest<>("long", 0.08, 0, 0, 2000 * MILLISECOND));
        line.add(new WaitQueue.QueuedRequest<>("short", 0.005, 0, 0, 2100 * MILLISECOND));

        assertEquals(next(line, 500), "short");
    }

    // For three seconds nearly twice as many prompts come as engines compute; one in ten takes as long as seven others.
    // In
    // the order of arrival a long one makes seven callers behind it late or refused.
    @Test
    public void should_serve_more_callers_in_a_burst_of_short_and_long_prompts() {
        double byArrival = 0;
        double byWork = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            byArrival += new Burst(seed, 0).run().servedShare();
            byWork += new Burst(seed, 1).run().servedShare();
        }

        assertTrue(byWork / SEEDS > byArrival / SEEDS + 0.05, byArrival / SEEDS + " to " + byWork / SEEDS);
    }

    // The callers with the longest prompts are few, but a day on which none of them is served is a day without the
    // product.
    @Test
    public void should_still_serve_long_prompts_half_as_often_as_all() {
        double all = 0;
        double longOnes = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Burst burst = new Burst(seed, 1).run();
            all += burst.servedShare();
            longOnes += burst.longServedShare();
        }

        assertTrue(longOnes > all / 2, longOnes / SEEDS + " of the long ones, " + all / SEEDS + " of all");
    }

    private static String next(WaitQueue<String> line, long milliseconds) {
        return line.takeNext(milliseconds * MILLISECOND).orElseThrow().request();
    }

    /** Prompts of two lengths, for a while more than one engine computes. */
    private static final class Burst {
        private static final long SHORT = 10;
        private static final long LONG = 70;
        private static final double LONG_SHARE = 0.1;
        private static final double MEAN = SHORT + LONG_SHARE * (LONG - SHORT);
        private static final long AIM = 200;
        private static final long DEADLINE = 2000;
        private static final long FROM = 1000;
        private static final long TO = 4000;
        private static final long END = 9000;

        private final WaitQueue<Integer> line = new WaitQueue<>();
        private final List<Long> works = new ArrayList<>();
        private final RandomGenerator random;
        private final double toldShare;
        private int served;
        private int longServed;
        private int longOnes;
        private long freeFrom;

        /** Makes a burst; the line is told so much of how long prompts take. */
        Burst(long seed, double toldShare) {
            this.random = new SplittableRandom(seed);
            this.toldShare = toldShare;
        }

        Burst run() {
            for (long now = 0; now < END; now++) {
                double load = now >= FROM && now < TO ? 1.9 : 0.5;
                if (random.nextDouble() < load / MEAN) {
                    arrive(now);
                }
                line.takeUnservable(now * MILLISECOND);
                if (now >= freeFrom && line.size() > 0) {
                    depart(now);
                }
            }
            return this;
        }

        double servedShare() {
            return (double) served / works.size();
        }

        double longServedShare() {
            return (double) longServed / longOnes;
        }

        private void arrive(long now) {
            long work = random.nextDouble() < LONG_SHARE ? LONG : SHORT;
            longOnes += work == LONG ? 1 : 0;
            line.add(new WaitQueue.QueuedRequest<>(
                    works.size(),
                    toldShare * work / 1000,
                    now * MILLISECOND,
                    (now + AIM) * MILLISECOND,
                    (now + DEADLINE) * MILLISECOND));
            works.add(work);
        }

        private void depart(long now) {
            WaitQueue.QueuedRequest<Integer> next = line.takeNext(now * MILLISECOND).orElseThrow();
            long work = works.get(next.request());
            line.dispatched(next.objectiveDeadline(), now * MILLISECOND);
            line.answerStarted(work / 1000.0);
            freeFrom = now + work;
            served++;
            longServed += work == LONG ? 1 : 0;
        }
    }
}
