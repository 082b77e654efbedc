package org.aspenmoor.internal.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;

/** Faults that are currently injected into the engine stand-in; set by POST to {@code /standin/faults}. */
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

    /** Blocks while the engine is frozen. */
    synchronized void waitWhileFrozen() throws InterruptedException {
        while (frozen) {
            wait();
        }
    }

    /** Records a sent token; halts the process when the configured number of tokens until the crash is reached. */
    synchronized void recordTokenSent() {
        if (crashAfterTokens == NEVER) {
            return;
        }
        crashAfterTokens--;
        if (crashAfterTokens <= 0) {
            Runtime.getRuntime().halt(CRASH_EXIT_CODE);
        }
    }

    /** Returns whether to close the connection of a stream after that many tokens; applies to one stream only. */
    synchronized boolean shouldCutStreamAfter(int tokensSent) {
        if (tokensSent != cutStreamAfterTokens) {
            return false;
        }
        cutStreamAfterTokens = NEVER;
        return true;
    }

    /** Returns whether to end a stream regularly after that many tokens, with its text incomplete; applies once. */
    synchronized boolean shouldTruncateStreamAfter(int tokensSent) {
        if (tokensSent != truncateStreamAfterTokens) {
            return false;
        }
        truncateStreamAfterTokens = NEVER;
        return true;
    }

    /** Returns whether to send a wrong token at that index; applies once. */
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
