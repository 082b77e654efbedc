package org.aspenmoor.internal.planning;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The counts of the last three minutes in buckets of one second, summed over all entries. */
final class CountWindow {
    private static final long BUCKET_NANOSECONDS = 1_000_000_000L;
    private static final int MAX_BUCKETS = 180;

    private final Deque<CountBucket> buckets = new ArrayDeque<>();
    private final Map<String, Long> lastSequences = new HashMap<>();
    private final Map<String, Long> reportedUntil = new HashMap<>();

    /**
     * Adds a report; returns {@code false} if it is invalid or not newer than the last one, in which case it is
     * ignored.
     */
    boolean add(WorkCounts counts) {
        boolean valid = counts.toNanoseconds() > counts.fromNanoseconds()
                && counts.kinds().stream().allMatch(CountWindow::isValid);
        long lastSequence = lastSequences.getOrDefault(counts.source(), -1L);
        if (!valid || counts.sequence() <= lastSequence) {
            return false;
        }
        lastSequences.put(counts.source(), counts.sequence());
        reportedUntil.merge(counts.source(), counts.toNanoseconds(), Math::max);
        long midpoint = counts.fromNanoseconds() + (counts.toNanoseconds() - counts.fromNanoseconds()) / 2;
        bucketAt(Math.floorDiv(midpoint, BUCKET_NANOSECONDS)).ifPresent(bucket -> bucket.add(counts));
        return true;
    }

    /**
     * Returns the time until which all entries have reported, or {@link Long#MIN_VALUE} if there is no entry. Entries
     * whose last report is older than {@code forgetAfterNanoseconds} are removed first.
     */
    long completeUntil(long now, long forgetAfterNanoseconds) {
        reportedUntil
                .values()
                .removeIf(reportedUntilNanoseconds -> now - reportedUntilNanoseconds > forgetAfterNanoseconds);
        return reportedUntil.values().stream().mapToLong(Long::longValue).min().orElse(Long.MIN_VALUE);
    }

    boolean isEmpty() {
        return buckets.isEmpty();
    }

    /** Returns the buckets, newest first. */
    Iterable<CountBucket> newestFirst() {
        return buckets::descendingIterator;
    }

    private Optional<CountBucket> bucketAt(long second) {
        if (buckets.isEmpty() || second > buckets.getLast().second()) {
            long next = buckets.isEmpty() ? second : Math.max(buckets.getLast().second() + 1, second - MAX_BUCKETS);
            for (long missingSecond = next; missingSecond <= second; missingSecond++) {
                buckets.addLast(new CountBucket(missingSecond));
            }
            while (buckets.size() > MAX_BUCKETS) {
                buckets.removeFirst();
            }
            return Optional.of(buckets.getLast());
        }
        return buckets.stream().filter(bucket -> bucket.second() == second).findFirst();
    }

    private static boolean isValid(KindCount count) {
        return count.requests() >= 0
                && count.promptTokens() >= 0
                && count.outputTokens() >= 0
                && (count.requests() > 0 || (count.promptTokens() == 0 && count.outputTokens() == 0));
    }
}
