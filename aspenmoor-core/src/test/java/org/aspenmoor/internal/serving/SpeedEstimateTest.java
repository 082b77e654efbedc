package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class SpeedEstimateTest {
    private static final double SETTINGS_SECONDS = 0.09;
    private static final double FIXED_SECONDS = 0.018;
    private static final double QUEUE_SECONDS = 0.5;
    private static final int ANSWERS = 60;

    // Engines are five times as fast as the settings say. Believed slow, they look full and callers are refused though
    // prompts are computed in a few milliseconds.
    @Test
    public void should_learn_that_engines_are_quicker_than_the_settings_say() {
        SpeedEstimate quick = new SpeedEstimate();
        observe(quick, ANSWERS, 0.2, 0, true);

        assertEquals(quick.factor(), 0.2, 0.05);
        assertTrue(quick.known());
    }

    // Engines are three times as slow as the settings say. Believed quick, they are sent more than they can compute,
    // and
    // callers wait past their deadline.
    @Test
    public void should_learn_from_lone_prompts_that_engines_are_slower() {
        SpeedEstimate slow = new SpeedEstimate();
        observe(slow, 3 * ANSWERS, 3, 0, true);

        assertEquals(slow.factor(), 3, 0.5);
    }

    // Eight entries send to the same engine and none knows all of its queue. Put down to the engine, the wait would
    // make it
    // look slower and slower; a prompt's own work would then explain any wait, and no entry would give way.
    @Test
    public void should_not_take_a_queue_for_a_slow_engine() {
        SpeedEstimate queued = new SpeedEstimate();
        observe(queued, ANSWERS, 0.2, 0, true);
        double before = queued.factor();
        double fixedBefore = queued.fixedSeconds();
        observe(queued, 10 * ANSWERS, 0.2, QUEUE_SECONDS, false);

        assertEquals(queued.factor(), before, 0.01);
        assertEquals(queued.fixedSeconds(), fixedBefore, 0.001);
    }

    // An entry has just been restarted in the middle of a burst. With the settings' speed it would fill the engines'
    // queues
    // or refuse callers until it has seen enough answers of its own.
    @Test
    public void should_go_by_what_another_entry_has_found_until_it_knows() {
        SpeedEstimate speed = new SpeedEstimate();
        assertFalse(speed.known());
        speed.learnFromPeer(0.25, FIXED_SECONDS);

        assertTrue(speed.known());
        assertEquals(speed.factor(), 0.25, 1e-9);
        speed.learnFromPeer(10, FIXED_SECONDS);
        assertTrue(speed.factor() < 0.5, "one report moves what is known only a little");
    }

    private static void observe(SpeedEstimate speed, int answers, double slowness, double queueSeconds, boolean alone) {
        for (int answer = 0; answer < answers; answer++) {
            double expected = SETTINGS_SECONDS * speed.factor();
            double took = FIXED_SECONDS + SETTINGS_SECONDS * slowness + queueSeconds;
            speed.observe(expected, took, alone);
            speed.observe(0.0002, FIXED_SECONDS + queueSeconds, alone);
        }
    }
}
