package org.aspenmoor.internal.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;

/** The faults that the engine stand-in shows now; set through its control path. */
final class EngineFaults {
    private static final int NEVER = -1;
    private static final int CRASH_EXIT_CODE = 137;

    private int crashAfterTokens = NEVER;
    private int cutStreamAfterTokens = NEVER;
    private int truncateStreamAfterTokens = NEVER;
    private int wrongTokenAt = NEVER;
    private int ordersToFail;
    private long delayMilliseconds;
    private boolean frozen;

    synchronized void apply(JsonNode change) {
        crashAfterTokens = change.path("crashAfterTokens").asInt(crashAfterTokens);
        cutStreamAfterTokens = change.path("cutStreamAfterTokens").asInt(cutStreamAfterTokens);
        truncateStreamAfterTokens = change.path("truncateStreamAfterTokens").asInt(truncateStreamAfterTokens);
        wrongTokenAt = change.path("wrongTokenAt").asInt(wrongTokenAt);
        ordersToFail = change.path("failOrdersHalfway").asInt(ordersToFail);
        delayMilliseconds = change.path("delayMilliseconds").asLong(delayMilliseconds);
        frozen = change.path("freeze").asBoolean(frozen);
        notifyAll();
    }

    /** Waits as long as the engine is frozen. */
    synchronized void waitWhileFrozen() throws InterruptedException {
        while (frozen) {
            wait();
        }
    }

    /** Counts a token that was sent; ends the process at once where a crash is due. */
    synchronized void recordTokenSent() {
        if (crashAfterTokens == NEVER) {
            return;
        }
        crashAfterTokens--;
        if (crashAfterTokens <= 0) {
            Runtime.getRuntime().halt(CRASH_EXIT_CODE);
        }
    }

    /** Says whether the connection of a stream is cut after that many tokens; cuts one stream only. */
    synchronized boolean shouldCutStreamAfter(int tokensSent) {
        if (tokensSent != cutStreamAfterTokens) {
            return false;
        }
        cutStreamAfterTokens = NEVER;
        return true;
    }

    /** Says whether a stream ends in good form after that many tokens though its text is not whole; once only. */
    synchronized boolean shouldTruncateStreamAfter(int tokensSent) {
        if (tokensSent != truncateStreamAfterTokens) {
            return false;
        }
        truncateStreamAfterTokens = NEVER;
        return true;
    }

    /** Says whether a wrong token is sent at that index; once only. */
    synchronized boolean shouldSendWrongTokenAt(int index) {
        if (index != wrongTokenAt) {
            return false;
        }
        wrongTokenAt = NEVER;
        return true;
    }

    synchronized boolean shouldFailOrder() {
        if (ordersToFail == 0) {
            return false;
        }
        ordersToFail--;
        return true;
    }

    synchronized long delayMilliseconds() {
        return delayMilliseconds;
    }
}
