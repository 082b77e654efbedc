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

    // For six seconds every entry has more prompts than the engine can compute. Sent on at once they would wait for
    // seconds
    // in the engine's queue, all late alike; nobody there can be overtaken.
    @Test
    public void should_keep_an_engines_queue_short_under_a_burst_and_the_engine_busy() {
        for (int entries : new int[] {1, 3, 8, 24}) {
            Replay replay = new Replay(entries);
            replay.run();

            assertTrue(
                    replay.medianWaitMilliseconds() < 2 * TOLERATED_SECONDS * 1000,
                    entries + " entries: median wait " + replay.medianWaitMilliseconds() + " ms");
            assertTrue(replay.busyShare() > 0.85, entries + " entries: the engine was busy for " + replay.busyShare());
        }
    }

    // An engine changes its role and turns every prompt away for three seconds. It looks idle meanwhile; each request
    // would
    // lose a try there.
    @Test
    public void should_pause_where_the_engine_turns_prompts_away() {
        PromptWindow window = new PromptWindow();
        window.promptSent();
        window.promptRejected(MILLISECOND);
        window.promptEnded();

        assertFalse(window.hasRoom(2 * MILLISECOND));
        assertTrue(window.hasRoom(1000 * MILLISECOND), "it is tried again");
    }

    /** Entries that always have a prompt to send, and one engine that computes them first come first served. */
    private static final class Replay {
        private final List<PromptWindow> windows = new ArrayList<>();
        private final Deque<Sent> queue = new ArrayDeque<>();
        private final List<Long> waits = new ArrayList<>();
        private long computedMilliseconds;
        private long busyMilliseconds;

        Replay(int entries) {
            for (int entry = 0; entry < entries; entry++) {
                windows.add(new PromptWindow());
            }
        }

        void run() {
            for (long now = 0; now < BURST_MILLISECONDS; now++) {
                finish(now);
                // Entries take turns in who looks first.
                for (int turn = 0; turn < windows.size(); turn++) {
                    PromptWindow window = windows.get((int) ((now + turn) % windows.size()));
                    if (window.hasRoom(now * MILLISECOND)) {
                        window.promptSent();
                        queue.addLast(new Sent(window, now));
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

        double busyShare() {
            return (double) busyMilliseconds / BURST_MILLISECONDS;
        }

        /** Works for one millisecond on the first prompt of the queue. */
        private void finish(long now) {
            if (queue.isEmpty()) {
                return;
            }
            busyMilliseconds++;
            computedMilliseconds++;
            if (computedMilliseconds < PROMPT_MILLISECONDS) {
                return;
            }
            computedMilliseconds = 0;
            Sent done = queue.removeFirst();
            long waited = now - done.at() - PROMPT_MILLISECONDS;
            waits.add(waited);
            done.window().promptComputed(done.at() * MILLISECOND, now * MILLISECOND, waited / 1000.0, TOLERATED_SECONDS);
            done.window().promptEnded();
        }

        private record Sent(PromptWindow window, long at) {}
    }
}
