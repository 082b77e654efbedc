package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/**
 * Forty-six entries before eight engines that are busy for three quarters of the time. An entry that knows only the
 * reports, which are up to half a second old, sends prompts to engines that others have just filled.
 */
public class LongPromptSimulationTest {
    private static final int SEEDS = Integer.getInteger("aspenmoor.seeds", 5);
    private static final int ENTRIES = 46;
    private static final int ENGINES = 8;
    private static final double UTILISATION = 0.75;

    /** Callers wait although other engines are free if entries choose engines by old reports. */
    @Test
    public void should_start_twice_as_many_answers_in_time_when_changes_of_the_load_are_announced() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            double reportsOnly = new LongPromptSimulation(seed, ENTRIES, ENGINES, false, 0).lateFraction(UTILISATION);
            double announced = new LongPromptSimulation(seed, ENTRIES, ENGINES, true, 0).lateFraction(UTILISATION);
            System.out.printf(
                    "seed %d: late %.4f with reports only, %.4f with announcements%n", seed, reportsOnly, announced);

            assertTrue(announced <= reportsOnly / 2, "seed " + seed + ": " + reportsOnly + " to " + announced);
        }
    }

    /** Announcements are datagrams. A lost one is corrected by the next report, and must not make a server look busy. */
    @Test
    public void should_still_help_when_a_fifth_of_the_messages_is_lost() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            double reportsOnly = new LongPromptSimulation(seed, ENTRIES, ENGINES, false, 0.2).lateFraction(UTILISATION);
            double announced = new LongPromptSimulation(seed, ENTRIES, ENGINES, true, 0.2).lateFraction(UTILISATION);

            assertTrue(announced < reportsOnly, "seed " + seed + ": " + reportsOnly + " to " + announced);
        }
    }
}
