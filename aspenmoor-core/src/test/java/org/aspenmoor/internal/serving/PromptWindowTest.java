package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.testng.annotations.Test;

public class PromptWindowTest {
    private static final long MILLISECOND = 1_000_000;
    private static final long PROMPT_MILLISECONDS = 14;
    private static final double TOLERATED_SECONDS = 0.05;
    private static final long BURST_MILLISECONDS = 6_000;

    // For six seconds every entry has more prompts than the engine can compute. If all were sent on at once, they would
    // wait for seconds in the engine's queue, all equally late, and could not be reordered there.
    @Test
    public void should_keep_the_queue_short_and_the_engine_busy_during_a_burst() {
        for (int entries : new int[] {1, 3, 8, 24}) {
            Simulation simulation = new Simulation(entries);
            simulation.run();

            assertTrue(
                    simulation.medianWaitMilliseconds() < 2 * TOLERATED_SECONDS * 1000,
                    entries + " entries: median wait " + simulation.medianWaitMilliseconds() + " ms");
            assertTrue(
                    simulation.busyFraction() > 0.85,
                    entries + " entries: busy fraction of the engine " + simulation.busyFraction());
        }
    }

    // An engine changes its role and rejects every prompt for three seconds. It looks idle meanwhile, and each request
    // sent there would lose an attempt.
    @Test
    public void should_pause_when_the_engine_rejects_a_prompt() {
        PromptWindow window = new PromptWindow();
        window.promptSent();
        window.promptRejected(MILLISECOND);
        window.promptEnded();

        assertFalse(window.hasRoom(2 * MILLISECOND));
        assertTrue(window.hasRoom(1000 * MILLISECOND), "the engine must be tried again after the pause");
    }

    /**
     * Entries that always have a prompt to send, and one engine that computes prompts in first-come-first-served order.
     */
    private static final class Simulation {
        private final List<PromptWindow> windows = new ArrayList<>();
        private final Deque<SentPrompt> queue = new ArrayDeque<>();
        private final List<Long> waits = new ArrayList<>();
        private long computedMilliseconds;
        private long busyMilliseconds;

        Simulation(int entries) {
            for (int entry = 0; entry < entries; entry++) {
                windows.add(new PromptWindow());
            }
        }

        void run() {
            for (long now = 0; now < BURST_MILLISECONDS; now++) {
                computeForOneMillisecond(now);
                // The entries take turns at being the first to send.
                for (int turn = 0; turn < windows.size(); turn++) {
                    PromptWindow window = windows.get((int) ((now + turn) % windows.size()));
                    if (window.hasRoom(now * MILLISECOND)) {
                        window.promptSent();
                        queue.addLast(new SentPrompt(window, now));
                    }
                }
            }
        }

        double medianWaitMilliseconds() {
            List<Long> sorted = waits.subList(waits.size() / 2, waits.size()).stream()
                    .sorted()
                    .toList();
            return sorted.get(sorted.size() / 2);
        }

        double busyFraction() {
            return (double) busyMilliseconds / BURST_MILLISECONDS;
        }

        /** Computes the first prompt of the queue for one millisecond. */
        private void computeForOneMillisecond(long now) {
            if (queue.isEmpty()) {
                return;
            }
            busyMilliseconds++;
            computedMilliseconds++;
            if (computedMilliseconds < PROMPT_MILLISECONDS) {
                return;
            }
            computedMilliseconds = 0;
            SentPrompt done = queue.removeFirst();
            long waited = now - done.sentAt() - PROMPT_MILLISECONDS;
            waits.add(waited);
            done.window()
                    .promptComputed(done.sentAt() * MILLISECOND, now * MILLISECOND, waited / 1000.0, TOLERATED_SECONDS);
            done.window().promptEnded();
        }

        private record SentPrompt(PromptWindow window, long sentAt) {}
    }
}
