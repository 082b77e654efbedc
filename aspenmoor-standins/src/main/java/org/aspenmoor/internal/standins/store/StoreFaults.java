package org.aspenmoor.internal.standins.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.atomic.AtomicInteger;

/** Faults that are currently injected into the store stand-in; set by POST to {@code /standin/faults}. */
final class StoreFaults {
    private final AtomicInteger answersToLose = new AtomicInteger();
    private volatile Outage outage = Outage.NONE;
    private volatile long delayMilliseconds;

    /** Kind of outage. */
    enum Outage {
        /** The store works. */
        NONE,
        /** Every call is refused with status 503 and has no effect. */
        REFUSE,
        /** The connection is closed without an answer; the call has no effect. */
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
        return answersToLose.getAndUpdate(remaining -> Math.max(0, remaining - 1)) > 0;
    }
}
