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

    void apply(JsonNode change, ObjectBook book) {
        if (change.has("outage")) {
            outage = Outage.valueOf(change.path("outage").asText().toUpperCase(java.util.Locale.ROOT));
            if (outage != Outage.NONE) {
                book.endWatches();
            }
        }
        if (change.has("delayMilliseconds")) {
            delayMilliseconds = change.path("delayMilliseconds").asLong();
        }
        if (change.has("loseAnswers")) {
            answersToLose.set(change.path("loseAnswers").asInt());
        }
        if (change.has("staleReads")) {
            book.staleReads(change.path("staleReads").asBoolean());
        }
        if (change.has("hostLagMilliseconds")) {
            book.hostLag(change.path("hostLagMilliseconds").asLong());
        }
        if (change.path("endWatches").asBoolean()) {
            book.endWatches();
        }
        if (change.path("forgetEvents").asBoolean()) {
            book.forgetEvents();
        }
    }

    Outage outage() {
        return outage;
    }

    long delayMilliseconds() {
        return delayMilliseconds;
    }

    boolean losesThisAnswer() {
        return answersToLose.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
    }
}
