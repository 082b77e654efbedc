package org.aspenmoor.internal.serving.quarantine;

import java.util.ArrayList;
import java.util.List;

/** The server terminations caused by one fatal request in a simulation. */
final class FatalRequestRuns {
    private static final int THIRD_INDEX = 2;

    private final List<Long> terminatedAtMillis = new ArrayList<>();

    void serverTerminated(long atMillis) {
        terminatedAtMillis.add(atMillis);
    }

    int terminations() {
        return terminatedAtMillis.size();
    }

    /** Returns how many terminations happened more than the given time after the third. */
    int terminationsLaterThan(long delayMillis) {
        if (terminatedAtMillis.size() <= THIRD_INDEX) {
            return 0;
        }
        long thresholdMillis = terminatedAtMillis.get(THIRD_INDEX) + delayMillis;
        return (int) terminatedAtMillis.stream()
                .filter(atMillis -> atMillis > thresholdMillis)
                .count();
    }
}
