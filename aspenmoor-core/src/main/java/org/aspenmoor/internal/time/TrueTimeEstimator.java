package org.aspenmoor.internal.time;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates the true time from the wall clocks of several hosts, some of which are wrong or jump by seconds. Confined to
 * one thread.
 *
 * <p>Each source gives the difference between its wall clock and the monotonic clock of this process. The median of
 * these differences is right as long as more than half of the clocks are.
 *
 * <p>If the own wall clock jumps, either somebody has set it, or the process was suspended, which stops the monotonic
 * clock and makes all earlier differences too small. The next messages tell which: after a suspension, the differences of
 * their sources have changed as well. Two sources have to agree, since clocks of other hosts may be set at the same time.
 */
public final class TrueTimeEstimator {
    /** Sources state their time several times a second; one that has stopped must not count for ever. */
    private static final Duration MAX_AGE = Duration.ofSeconds(3);

    /** Change of a difference above which a wall clock has jumped, or this process was suspended. */
    private static final long JUMP_MILLIS = 200;

    private static final int AGREEING_SOURCES = 2;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final TimeSource clocks;
    private final Map<String, Sample> samples = new HashMap<>();
    private long lastOwnOffset;
    private boolean suspensionPossible;
    private int changedSources;
    private int unchangedSources;
    private long jumpedAt;
    private long lastEstimate;
    private long jumps;

    public TrueTimeEstimator(TimeSource clocks) {
        this.clocks = clocks;
        this.lastOwnOffset = ownOffset();
        this.lastEstimate = lastOwnOffset;
    }

    /** Records what another host's wall clock showed when its message was sent. */
    public void sampleReceived(String source, long wallClockMillis) {
        long now = clocks.monotonicNanos();
        long offset = wallClockMillis - now / NANOS_PER_MILLI;
        detectJump();
        Sample previous = samples.get(source);
        samples.put(source, new Sample(offset, now));
        if (suspensionPossible && previous != null) {
            resolveSuspension(Math.abs(offset - previous.offsetMillis()) > JUMP_MILLIS);
        }
    }

    private void resolveSuspension(boolean sourceChanged) {
        changedSources += sourceChanged ? 1 : 0;
        unchangedSources += sourceChanged ? 0 : 1;
        if (changedSources >= AGREEING_SOURCES) {
            samples.values().removeIf(sample -> sample.receivedAt() < jumpedAt);
        }
        suspensionPossible = changedSources < AGREEING_SOURCES && unchangedSources < AGREEING_SOURCES;
    }

    /** Returns the estimated true time in milliseconds since 1970. */
    public long currentMillis() {
        return millisAt(clocks.monotonicNanos());
    }

    /** Returns the estimated true time at a reading of the monotonic clock, in milliseconds since 1970. */
    public long millisAt(long nanos) {
        List<Long> offsets = sortedOffsets();
        int middle = offsets.size() / 2;
        long upper = offsets.get(middle);
        long lower = offsets.get((offsets.size() - 1) / 2);
        // With an even number of sources there is no majority; a change of the estimate needs one.
        lastEstimate = Math.abs(upper - lastEstimate) < Math.abs(lower - lastEstimate) ? upper : lower;
        return nanos / NANOS_PER_MILLI + lastEstimate;
    }

    /** Returns by how much the own wall clock is ahead of the estimate, in milliseconds. */
    public long ownErrorMillis() {
        return clocks.wallClockTime().toEpochMilli() - currentMillis();
    }

    /** Returns the largest difference between two sources, in milliseconds. */
    public long spreadMillis() {
        List<Long> offsets = sortedOffsets();
        return offsets.getLast() - offsets.getFirst();
    }

    /** Returns how often the own wall clock has jumped, or the process was suspended. */
    public long jumps() {
        return jumps;
    }

    private List<Long> sortedOffsets() {
        detectJump();
        long now = clocks.monotonicNanos();
        samples.values().removeIf(sample -> now - sample.receivedAt() > MAX_AGE.toNanos());
        List<Long> offsets = new ArrayList<>();
        offsets.add(ownOffset());
        samples.values().forEach(sample -> offsets.add(sample.offsetMillis()));
        offsets.sort(null);
        return offsets;
    }

    private void detectJump() {
        long offset = ownOffset();
        if (Math.abs(offset - lastOwnOffset) > JUMP_MILLIS) {
            jumps++;
            suspensionPossible = true;
            changedSources = 0;
            unchangedSources = 0;
            jumpedAt = clocks.monotonicNanos();
        }
        lastOwnOffset = offset;
    }

    private long ownOffset() {
        return clocks.wallClockTime().toEpochMilli() - clocks.monotonicNanos() / NANOS_PER_MILLI;
    }

    private record Sample(long offsetMillis, long receivedAt) {}
}
