package org.aspenmoor.internal.bench.replay.customer;

import java.time.Duration;
import java.util.List;

/**
 * One kind of generation that callers ask for.
 *
 * @param name its name
 * @param requestsPerSecond how many come on average
 * @param objective within which an answer has to begin to be on time
 * @param deadline after which nobody waits any more
 * @param maxEventInterval the longest pause between events of an answer that is on time
 * @param value what an answer on time is worth
 * @param lateValue what a late answer is worth
 * @param priority its rank; 0 goes first
 * @param resumable whether another engine may go on with a broken answer
 * @param events how many events an answer has
 * @param uniqueTokens the part of the prompt that is the request's own
 * @param sharedParts the parts before it
 */
public record RequestProfile(
        String name,
        double requestsPerSecond,
        Duration objective,
        Duration deadline,
        Duration maxEventInterval,
        double value,
        double lateValue,
        int priority,
        boolean resumable,
        LogNormalDistribution events,
        LogNormalDistribution uniqueTokens,
        List<SharedPromptPart> sharedParts) {}
