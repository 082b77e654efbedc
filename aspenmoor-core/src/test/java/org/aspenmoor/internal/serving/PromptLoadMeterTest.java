package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class PromptLoadMeterTest {
    private static final long SAMPLE = 100_000_000L;
    private static final int ENTRIES = 8;
    private static final int ENGINES = 4;
    private static final int SAMPLES_OF_TEN_SECONDS = 100;

    private PromptLoadMeter pressure;
    private long now;
    private boolean paced;

    @BeforeMethod
    public void startAnew() {
        pressure = new PromptLoadMeter();
        now = SAMPLE;
        paced = true;
    }

    @Test
    public void should_press_while_requests_wait_at_the_entry() {
        sample(1, true, SAMPLES_OF_TEN_SECONDS);

        assertEquals(pressure.load(), PromptLoad.PRESSED);
    }

    @Test
    public void should_be_easy_where_the_engines_have_half_of_their_time_free() {
        sample(0.3, false, SAMPLES_OF_TEN_SECONDS);

        assertEquals(pressure.load(), PromptLoad.EASY);
    }

    @Test
    public void should_be_usual_where_engines_are_busy_and_nobody_waits() {
        sample(0.8, false, SAMPLES_OF_TEN_SECONDS);

        assertEquals(pressure.load(), PromptLoad.USUAL);
    }

    // Guards against an engine that leaves the prompts while they queue at engines and nobody sees it.
    @Test
    public void should_not_be_easy_where_prompts_do_not_wait_at_the_entry() {
        paced = false;
        sample(0.3, false, SAMPLES_OF_TEN_SECONDS);

        assertEquals(pressure.load(), PromptLoad.USUAL);
    }

    // Guards against an engine that leaves the prompts because an entry that has just started has seen none.
    @Test
    public void should_not_be_easy_before_it_has_been_looked_at() {
        sample(0, false, 5);

        assertEquals(pressure.load(), PromptLoad.USUAL);
    }

    // Guards against an engine that leaves the prompts in a lull of a burst.
    @Test
    public void should_not_be_easy_in_a_short_lull() {
        sample(1, true, SAMPLES_OF_TEN_SECONDS);
        sample(0, false, 5);

        assertEquals(pressure.load(), PromptLoad.PRESSED);
    }

    /** Lets this entry send its part of what takes so much of all engines' time. */
    private void sample(double load, boolean waiting, int times) {
        for (int sample = 0; sample < times; sample++) {
            pressure.promptSent(load * ENGINES / ENTRIES / 10, paced);
            now += SAMPLE;
            pressure.sample(ENTRIES, ENGINES, waiting, now);
        }
    }
}
