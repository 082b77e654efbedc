package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertEquals;

import java.util.Random;
import java.util.random.RandomGenerator;
import org.testng.annotations.Test;

public class StartDelayTest {
    private static final double SETTINGS_WORK_SECONDS = 0.12;

    /**
     * Engines compute at half the speed of the settings and take 0.1 s for a first token, and they are never idle. An
     * entry that learned only from idle engines would expect a third of the real time for as long as the load lasts.
     */
    @Test
    public void should_learn_the_speed_of_engines_that_are_never_idle_within_thirty_answers() {
        StartDelay delay = new StartDelay();
        RandomGenerator random = new Random(5);

        answers(delay, 30, 2, 0.1, random);

        assertEquals(expectedSeconds(delay, 4 * SETTINGS_WORK_SECONDS), 2 * 4 * SETTINGS_WORK_SECONDS + 0.1, 0.15);
    }

    /** One stalled engine answers after seconds. It must not make all others look slow. */
    @Test
    public void should_not_be_misled_by_one_stalled_answer() {
        StartDelay delay = new StartDelay();
        answers(delay, 100, 1, 0.035, new Random(6));
        double before = expectedSeconds(delay, SETTINGS_WORK_SECONDS);

        delay.answerStarted(SETTINGS_WORK_SECONDS, 30);

        assertEquals(expectedSeconds(delay, SETTINGS_WORK_SECONDS), before, 0.1 * before);
    }

    @Test
    public void should_keep_the_values_of_the_settings_where_answers_start_as_expected() {
        StartDelay delay = new StartDelay();

        answers(delay, 200, 1, 0.035, new Random(7));

        assertEquals(delay.workFactor(), 1, 0.05);
        assertEquals(delay.fixedSeconds(), 0.035, 0.005);
    }

    /** After a burst in which queues hid much work, engines must not look slow for longer than the next answers take. */
    @Test
    public void should_return_to_the_settings_after_a_burst() {
        StartDelay delay = new StartDelay();
        answers(delay, 50, 4, 0.035, new Random(8));

        answers(delay, 150, 1, 0.035, new Random(9));

        assertEquals(delay.workFactor(), 1, 0.15);
    }

    private static double expectedSeconds(StartDelay delay, double settingsWorkSeconds) {
        return settingsWorkSeconds * delay.workFactor() + delay.fixedSeconds();
    }

    /** Lets answers start on engines with queues of up to ten prompts. */
    private static void answers(StartDelay delay, int count, double factor, double fixed, RandomGenerator random) {
        for (int index = 0; index < count; index++) {
            double settingsSeconds = SETTINGS_WORK_SECONDS * random.nextDouble(0.2, 10);
            delay.answerStarted(settingsSeconds * delay.workFactor(), settingsSeconds * factor + fixed);
        }
    }
}
