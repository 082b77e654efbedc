package org.aspenmoor.internal.bench.replay.customer;

import java.time.Duration;
import java.util.List;

/**
 * One kind of generation that callers ask for.
 *
 * @param name its name
 * @param perSecond how many come on average
 * @param objective within which an answer has to begin to be on time
 * @param deadline after which nobody waits any more
 * @param longestPause the longest pause between events of an answer that is on time
 * @param worth what an answer on time is worth
 * @param lateWorth what a late answer is worth
 * @param priority its rank; 0 goes first
 * @param resumable whether another engine may go on with a broken answer
 * @param events how many events an answer has
 * @param ownTokens the part of the prompt that is the request's own
 * @param shared the parts before it
 */
public record ServedKind(
        String name,
        double perSecond,
        Duration objective,
        Duration deadline,
        Duration longestPause,
        double worth,
        double lateWorth,
        int priority,
        boolean resumable,
        DrawnNumber events,
        DrawnNumber ownTokens,
        List<SharedPart> shared) {}
