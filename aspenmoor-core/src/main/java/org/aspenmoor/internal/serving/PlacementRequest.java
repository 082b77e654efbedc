package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;

/**
 * What a placement needs to know of a request.
 *
 * @param service the service it goes to
 * @param prompt its prompt; empty where no model is asked
 * @param timeLeft until nobody waits for the answer any more
 * @param objective within which its answer is on time
 * @param answerBegun whether its caller has got a part of the answer already
 * @param avoided servers that were tried already
 * @param mayStage whether its prompt may be computed elsewhere
 * @param mayWait whether it may wait here for room at an engine
 * @param othersWait whether others wait already, so that a long prompt takes its place among them
 */
public record PlacementRequest(
        String service,
        Optional<Prompt> prompt,
        Duration timeLeft,
        Duration objective,
        boolean answerStarted,
        Set<String> excludedServers,
        boolean mayDisaggregate,
        boolean mayQueue,
        boolean othersQueued) {}
