package org.aspenmoor.internal.serving.limit;

import java.time.Duration;
import java.util.Optional;

/**
 * The limit of a server and this entry's share of it, for operators.
 *
 * @param requestsPerSecond the requests per second that the server takes from all entries together
 * @param share the requests per second that this entry may send it
 * @param entries the number of entries among which the limit is divided
 * @param claims the number of other entries whose claims are known
 * @param oldestClaim time since the oldest of these claims was received; empty if none is known
 */
public record LimitSummary(
        double requestsPerSecond, double share, int entries, int claims, Optional<Duration> oldestClaim) {}
