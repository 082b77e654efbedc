package org.aspenmoor.internal.standins.service;

import com.fasterxml.jackson.databind.JsonNode;

/** The faults that the plain service stand-in shows now; set through its control path. */
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

    /** Counts a call that ran; ends the process before its answer where a crash is due. */
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
