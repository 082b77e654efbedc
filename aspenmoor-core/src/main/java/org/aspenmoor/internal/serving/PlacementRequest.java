package org.aspenmoor.internal.serving;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;

/**
 * The properties of a request that its placement depends on.
 *
 * @param service the service it is for
 * @param prompt its prompt; empty if the service runs no model
 * @param timeLeft time until nobody waits for the answer any more
 * @param objective time within which the answer is on time
 * @param answerStarted whether the caller has already received a part of the answer
 * @param excludedServers servers that have already been tried
 * @param mayDisaggregate whether its prompt may be computed on another engine than its answer
 * @param mayQueue whether it may wait at this entry until an engine has room
 * @param othersQueued whether other requests are already queued, so that a long prompt has to be queued with them
 * @param version which software versions may serve it
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
        boolean othersQueued,
        VersionRequirement version) {
    /** Returns the same request without the possibility to wait at this entry. */
    PlacementRequest withoutQueueing() {
        return new PlacementRequest(
                service,
                prompt,
                timeLeft,
                objective,
                answerStarted,
                excludedServers,
                mayDisaggregate,
                false,
                othersQueued,
                version);
    }
}
