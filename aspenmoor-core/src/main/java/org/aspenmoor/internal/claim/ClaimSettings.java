package org.aspenmoor.internal.claim;

import java.time.Duration;

/**
 * How claims are kept.
 *
 * @param bucketsPerTeam over how many objects the claims of a team are spread
 * @param life how long a claim is kept
 * @param outcomeDelay how long a recorded outcome may wait for a claim to share its write
 * @param comeBackAfter the shortest time after which a refused caller should ask again
 * @param mostBucketCharacters how large an object may grow
 * @param mostBodyCharacters how long a recorded body may be
 * @param mostWaiting how many claims, and how many outcomes, may wait for the store
 */
public record ClaimSettings(
        int bucketsPerTeam,
        Duration life,
        Duration outcomeDelay,
        Duration comeBackAfter,
        int mostBucketCharacters,
        int mostBodyCharacters,
        int mostWaiting) {
    /** Four objects a team, kept for a day, 900,000 characters at most. */
    public static final ClaimSettings DEFAULT = new ClaimSettings(
            4, Duration.ofHours(24), Duration.ofMillis(100), Duration.ofSeconds(2), 900_000, 2048, 10_000);
}
