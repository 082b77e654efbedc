package org.aspenmoor.internal.claim;

import java.time.Duration;

/**
 * Limits and times for storing claims.
 *
 * @param bucketsPerTeam the number of objects over which the claims of a team are distributed
 * @param retention how long a claim is kept
 * @param outcomeDelay how long an outcome may wait to be written together with a claim
 * @param minRetryAfter the shortest time after which a refused caller should retry
 * @param maxBucketCharacters the maximum size of an object, in characters
 * @param maxBodyCharacters the maximum length of a recorded body, in characters of its base64 form
 * @param maxWaiting the maximum number of waiting claims, and of waiting outcomes
 */
public record ClaimSettings(
        int bucketsPerTeam,
        Duration retention,
        Duration outcomeDelay,
        Duration minRetryAfter,
        int maxBucketCharacters,
        int maxBodyCharacters,
        int maxWaiting) {
    /** The default: four objects per team with at most 900,000 characters each; claims are kept for a day. */
    public static final ClaimSettings DEFAULT = new ClaimSettings(
            4, Duration.ofHours(24), Duration.ofMillis(100), Duration.ofSeconds(2), 900_000, 2048, 10_000);
}
