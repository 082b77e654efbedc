package org.aspenmoor.internal.serving.freshness;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/**
 * How up to date one entry's knowledge of a collection is.
 *
 * @param collection the collection
 * @param age age of the latest confirmation, its own or another entry's; empty before the first
 * @param confirmedByPeers whether other entries confirm the state, or this one does on behalf of them
 * @param observers how many entries that rank before this one poll on behalf of all
 * @param polls the polls so far, by reason
 */
public record FreshnessStatus(
        ObservedCollection collection,
        Optional<Duration> age,
        boolean confirmedByPeers,
        int observers,
        Map<PollReason, Long> polls) {
    public FreshnessStatus {
        polls = Map.copyOf(polls);
    }
}
