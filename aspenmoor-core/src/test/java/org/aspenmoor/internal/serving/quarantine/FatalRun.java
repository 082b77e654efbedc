package org.aspenmoor.internal.serving.quarantine;

import java.util.ArrayList;
import java.util.List;

/** The server terminations caused by one fatal request in a simulation. */
final class FatalRun {
    private static final int THIRD = 2;

    private final List<Long> endedAt = new ArrayList<>();

    void ended(long milliseconds) {
        endedAt.add(milliseconds);
    }

    int ends() {
        return endedAt.size();
    }

    /** Returns how many terminations happened more than the given time after the third. */
    int runsLaterThan(long milliseconds) {
        if (endedAt.size() <= THIRD) {
            return 0;
        }
        long from = endedAt.get(THIRD) + milliseconds;
        return (int) endedAt.stream().filter(at -> at > from).count();
    }
}
