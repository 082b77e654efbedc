package org.aspenmoor.internal.bench.replay.run;

/**
 * How one kind of request fared.
 *
 * @param kind its name
 * @param asked how many callers asked
 * @param earned part of what they were worth that was earned
 * @param onTime part that got an answer on time
 * @param served part that got an answer
 * @param refused part that was refused
 * @param failed part that got nothing whole
 * @param largestServed part of the largest tenth that got an answer
 */
public record KindResult(
        String kind,
        int asked,
        double earned,
        double onTime,
        double served,
        double refused,
        double failed,
        double largestServed) {}
