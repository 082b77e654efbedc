package org.aspenmoor.internal.serving.limit;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * What an entry knows of the limit of one server, as reported to the other entries.
 *
 * @param server the server's id
 * @param startedAt start time of its incarnation, in milliseconds since 1970
 * @param requestsPerSecond the limit; empty if the server has stated that there is none any more
 * @param age time since the request was sent whose answer stated it
 * @param claim what the entry claims of the limit
 * @param loans the slots that the entry lends
 */
public record StatedLimit(
        String server,
        long startedAt,
        Optional<Double> requestsPerSecond,
        Duration age,
        ShareClaim claim,
        List<SlotLoan> loans) {
    public StatedLimit {
        loans = List.copyOf(loans);
    }
}
