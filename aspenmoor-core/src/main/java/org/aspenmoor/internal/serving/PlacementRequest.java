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
 * @param avoided servers that were tried already
 * @param mayStage whether its prompt may be computed elsewhere
 */
public record PlacementRequest(
        String service, Optional<Prompt> prompt, Duration timeLeft, Set<String> avoided, boolean mayStage) {}
