package org.aspenmoor.internal.bench.replay.customer;

import java.time.Duration;
import java.util.List;

/**
 * A kind of generation request, with its rate, objectives, value and lengths.
 *
 * @param name name of the kind
 * @param requestsPerSecond mean arrival rate
 * @param objective time within which an answer has to start to count as on time
 * @param deadline time after which the caller no longer waits
 * @param maxEventInterval longest interval between two events of an answer that counts as on time
 * @param value value of an answer that is on time
 * @param lateValue value of a complete answer that is late
 * @param priority priority; 0 is the most urgent
 * @param resumable whether another engine may resume an interrupted answer
 * @param events number of events of an answer
 * @param uniqueTokens length of the part of the prompt that no other request has
 * @param sharedParts prompt parts before it that requests share
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
