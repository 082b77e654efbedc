package org.aspenmoor.internal.standins.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.atomic.AtomicInteger;

/** The faults that the store stand-in shows now; set through its control path. */
final class StoreFaults {
    private final AtomicInteger answersToLose = new AtomicInteger();
    private volatile Outage outage = Outage.NONE;
    private volatile long delayMilliseconds;

    /** How the store is out of order. */
    enum Outage {
        /** It works. */
        NONE,
        /** It answers that it did nothing. */
        REFUSE,
        /** It does nothing and closes the connection. */
        DROP
    }

    void apply(JsonNode change, ObjectTable objects) {
        if (change.has("outage")) {
            outage = Outage.valueOf(change.path("outage").asText().toUpperCase(java.util.Locale.ROOT));
            if (outage != Outage.NONE) {
                objects.endWatches();
            }
        }
        if (change.has("delayMilliseconds")) {
            delayMilliseconds = change.path("delayMilliseconds").asLong();
        }
        if (change.has("loseAnswers")) {
            answersToLose.set(change.path("loseAnswers").asInt());
        }
        if (change.has("staleReads")) {
            objects.setStaleReads(change.path("staleReads").asBoolean());
        }
        if (change.has("hostLagMilliseconds")) {
            objects.setHostLag(change.path("hostLagMilliseconds").asLong());
        }
        if (change.path("endWatches").asBoolean()) {
            objects.endWatches();
        }
        if (change.path("forgetEvents").asBoolean()) {
            objects.discardEvents();
        }
    }

    Outage outage() {
        return outage;
    }

    long delayMilliseconds() {
        return delayMilliseconds;
    }

    boolean shouldLoseAnswer() {
        return answersToLose.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
    }
}
