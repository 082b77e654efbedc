package org.aspenmoor.internal.serving.speed;

import java.util.HashMap;
import java.util.Map;
import org.aspenmoor.internal.serving.LearnedSlowdown;

/**
 * What the other entries have learned of one server. Each report replaces the previous one of its sender. What was
 * learned from an entry remains when that entry is gone, until newer answers outweigh it.
 *
 * <p>The sum over the entries is kept up to date, because 300 entries report several servers each, and each request
 * needs the sum of each server.
 */
final class PeerSlowdowns {
    /** Fewer answers than this no longer matter. */
    private static final double MIN_ANSWERS = 0.05;

    /** Limits the weight of one entry, so that a wrong number of answers does not outweigh all others. */
    private static final double MAX_ANSWERS = 1000;

    private final Map<String, Received> byEntry = new HashMap<>();
    private final SlowdownAverage total = new SlowdownAverage();

    void received(String entry, LearnedSlowdown learned, long now) {
        double factor = SpeedLimits.clamp(learned.factor());
        double answers = Math.min(MAX_ANSWERS, learned.answers());
        Received previous = byEntry.put(entry, new Received(factor, answers, now));
        if (previous != null) {
            total.remove(previous.factor(), previous.answers(), previous.at(), now);
        }
        total.add(factor, answers, now);
    }

    /** Removes what is too old to matter. */
    void expire(long now) {
        byEntry.values()
                .removeIf(received -> received.answers() * SlowdownAverage.decay(now - received.at()) < MIN_ANSWERS);
        if (byEntry.isEmpty()) {
            total.clear();
        }
    }

    void clear() {
        byEntry.clear();
        total.clear();
    }

    SlowdownAverage total() {
        return total;
    }

    private record Received(double factor, double answers, long at) {}
}
