package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class PromptLoadMeterTest {
    private static final long SAMPLE_INTERVAL_NANOSECONDS = 100_000_000L;
    private static final int ENTRIES = 8;
    private static final int ENGINES = 4;
    private static final int SAMPLES_OF_TEN_SECONDS = 100;

    private PromptLoadMeter meter;
    private long now;
    private boolean queuedAtEntry;

    @BeforeMethod
    public void createMeter() {
        meter = new PromptLoadMeter();
        now = SAMPLE_INTERVAL_NANOSECONDS;
        queuedAtEntry = true;
    }

    @Test
    public void should_be_pressed_while_requests_wait_at_the_entry() {
        sample(1, true, SAMPLES_OF_TEN_SECONDS);

        assertEquals(meter.load(), PromptLoad.PRESSED);
    }

    @Test
    public void should_be_easy_when_the_engines_are_mostly_idle() {
        sample(0.3, false, SAMPLES_OF_TEN_SECONDS);

        assertEquals(meter.load(), PromptLoad.EASY);
    }

    @Test
    public void should_be_usual_when_engines_are_busy_and_no_request_waits() {
        sample(0.8, false, SAMPLES_OF_TEN_SECONDS);

        assertEquals(meter.load(), PromptLoad.USUAL);
    }

    // No engine must be reassigned from prefill while prompts queue at the engines, where no entry sees them.
    @Test
    public void should_not_be_easy_when_prompts_are_not_queued_at_the_entry() {
        queuedAtEntry = false;
        sample(0.3, false, SAMPLES_OF_TEN_SECONDS);

        assertEquals(meter.load(), PromptLoad.USUAL);
    }

    // No engine must be reassigned from prefill because an entry that has just started has seen no prompts.
    @Test
    public void should_not_be_easy_before_enough_samples() {
        sample(0, false, 5);

        assertEquals(meter.load(), PromptLoad.USUAL);
    }

    // No engine must be reassigned from prefill in a pause of a burst.
    @Test
    public void should_stay_pressed_in_a_short_pause_of_a_burst() {
        sample(1, true, SAMPLES_OF_TEN_SECONDS);
        sample(0, false, 5);

        assertEquals(meter.load(), PromptLoad.PRESSED);
    }

    /**
     * Adds samples in which this entry sends its part of a load that keeps all engines busy for the given fraction of
     * their time.
     */
    private void sample(double utilisation, boolean waiting, int samples) {
        for (int sample = 0; sample < samples; sample++) {
            meter.promptSent(utilisation * ENGINES / ENTRIES / 10, queuedAtEntry);
            now += SAMPLE_INTERVAL_NANOSECONDS;
            meter.sample(ENTRIES, ENGINES, waiting, now);
        }
    }
}
