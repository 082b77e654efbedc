package org.aspenmoor.internal.claim;

import java.time.Duration;

/**
 * How claims are kept.
 *
 * @param bucketsPerTeam over how many objects the claims of a team are spread
 * @param retention how long a claim is kept
 * @param outcomeDelay how long a recorded outcome may wait for a claim to share its write
 * @param minRetryAfter the shortest time after which a refused caller should ask again
 * @param maxBucketCharacters how large an object may grow
 * @param maxBodyCharacters how long a recorded body may be
 * @param maxWaiting how many claims, and how many outcomes, may wait for the store
 */
public record ClaimSettings(
        int bucketsPerTeam,
        Duration retention,
        Duration outcomeDelay,
        Duration minRetryAfter,
        int maxBucketCharacters,
        int maxBodyCharacters,
        int maxWaiting) {
    /** Four objects a team, kept for a day, 900,000 characters at most. */
    public static final ClaimSettings DEFAULT = new ClaimSettings(
            4, Duration.ofHours(24), Duration.ofMillis(100), Duration.ofSeconds(2), 900_000, 2048, 10_000);
}
