package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class SpeedEstimateTest {
    private static final double NOMINAL_WORK_SECONDS = 0.09;
    private static final double FIXED_SECONDS = 0.018;
    private static final double QUEUE_SECONDS = 0.5;
    private static final int ANSWERS = 60;

    // Engines are five times as fast as the settings specify. If they are treated as slow, they look full and callers
    // are refused although prompts are computed in a few milliseconds.
    @Test
    public void should_learn_when_engines_are_faster_than_the_settings_specify() {
        SpeedEstimate fast = new SpeedEstimate();
        observe(fast, ANSWERS, 0.2, 0, true);

        assertEquals(fast.factor(), 0.2, 0.05);
        assertTrue(fast.known());
    }

    // Engines are three times as slow as the settings specify. If they are treated as fast, they are sent more than
    // they can compute, and callers wait past their deadline.
    @Test
    public void should_learn_from_prompts_on_idle_engines_when_engines_are_slower() {
        SpeedEstimate slow = new SpeedEstimate();
        observe(slow, 3 * ANSWERS, 3, 0, true);

        assertEquals(slow.factor(), 3, 0.5);
    }

    // Eight entries send to the same engine and none of them knows its complete queue. If the wait were attributed to
    // the engine, the engine would look slower and slower; a prompt's own work would then explain any wait, and no
    // entry would reduce its window.
    @Test
    public void should_not_attribute_a_wait_in_the_queue_to_the_engine_speed() {
        SpeedEstimate queued = new SpeedEstimate();
        observe(queued, ANSWERS, 0.2, 0, true);
        double before = queued.factor();
        double fixedBefore = queued.fixedSeconds();
        observe(queued, 10 * ANSWERS, 0.2, QUEUE_SECONDS, false);

        assertEquals(queued.factor(), before, 0.01);
        assertEquals(queued.fixedSeconds(), fixedBefore, 0.001);
    }

    // An entry has just been restarted in the middle of a burst. With the speed of the settings it would fill the
    // engines' queues or refuse callers until it has seen enough answers of its own.
    @Test
    public void should_adopt_the_estimate_of_a_peer_until_it_has_its_own() {
        SpeedEstimate speed = new SpeedEstimate();
        assertFalse(speed.known());
        speed.learnFromPeer(0.25, FIXED_SECONDS);

        assertTrue(speed.known());
        assertEquals(speed.factor(), 0.25, 1e-9);
        speed.learnFromPeer(10, FIXED_SECONDS);
        assertTrue(speed.factor() < 0.5, "a single report must change a known speed only slightly");
    }

    private static void observe(
            SpeedEstimate speed, int answers, double slowdown, double queueSeconds, boolean engineWasIdle) {
        for (int answer = 0; answer < answers; answer++) {
            double expected = NOMINAL_WORK_SECONDS * speed.factor();
            double took = FIXED_SECONDS + NOMINAL_WORK_SECONDS * slowdown + queueSeconds;
            speed.observe(expected, took, engineWasIdle);
            speed.observe(0.0002, FIXED_SECONDS + queueSeconds, engineWasIdle);
        }
    }
}
