package org.aspenmoor.internal.standins.service;

import com.fasterxml.jackson.databind.JsonNode;

/** Faults that are currently injected into the service stand-in; set by POST to {@code /standin/faults}. */
final class ServiceFaults {
    private static final int CRASH_EXIT_CODE = 137;

    private int answersToLose;
    private int crashAfterCalls;
    private long delayMilliseconds;

    synchronized void apply(JsonNode change) {
        answersToLose = change.path("loseAnswers").asInt(answersToLose);
        crashAfterCalls = change.path("crashAfterCalls").asInt(crashAfterCalls);
        delayMilliseconds = change.path("delayMilliseconds").asLong(delayMilliseconds);
    }

    synchronized long delayMilliseconds() {
        return delayMilliseconds;
    }

    synchronized boolean shouldLoseAnswer() {
        if (answersToLose == 0) {
            return false;
        }
        answersToLose--;
        return true;
    }

    /** Records an executed call; halts the process before the answer if the configured number of calls is reached. */
    synchronized void recordCall() {
        if (crashAfterCalls == 0) {
            return;
        }
        crashAfterCalls--;
        if (crashAfterCalls == 0) {
            Runtime.getRuntime().halt(CRASH_EXIT_CODE);
        }
    }
}
