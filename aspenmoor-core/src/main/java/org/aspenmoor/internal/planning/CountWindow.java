package org.aspenmoor.internal.planning;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The counts of the last minutes in buckets of one second, summed over all entries. */
final class CountWindow {
    private static final long BUCKET_NANOSECONDS = 1_000_000_000L;
    private static final int MOST_BUCKETS = 180;

    private final Deque<CountBucket> buckets = new ArrayDeque<>();
    private final Map<String, Long> sequences = new HashMap<>();
    private final Map<String, Long> reportedUntil = new HashMap<>();

    /** Adds a report; one that came before, or that makes no sense, is dropped. */
    boolean add(WorkCounts counts) {
        boolean makesSense = counts.toNanoseconds() > counts.fromNanoseconds()
                && counts.kinds().stream().allMatch(CountWindow::makesSense);
        long last = sequences.getOrDefault(counts.source(), -1L);
        if (!makesSense || counts.sequence() <= last) {
            return false;
        }
        sequences.put(counts.source(), counts.sequence());
        reportedUntil.merge(counts.source(), counts.toNanoseconds(), Math::max);
        long middle = counts.fromNanoseconds() + (counts.toNanoseconds() - counts.fromNanoseconds()) / 2;
        bucketAt(Math.floorDiv(middle, BUCKET_NANOSECONDS)).ifPresent(bucket -> bucket.add(counts));
        return true;
    }

    /** Returns until when every entry that still reports has reported; entries silent for long are forgotten. */
    long completeUntil(long now, long forgetAfterNanoseconds) {
        reportedUntil.values().removeIf(until -> now - until > forgetAfterNanoseconds);
        return reportedUntil.values().stream().mapToLong(Long::longValue).min().orElse(Long.MIN_VALUE);
    }

    boolean isEmpty() {
        return buckets.isEmpty();
    }

    /** Returns the buckets, newest first. */
    Iterable<CountBucket> newestFirst() {
        return buckets::descendingIterator;
    }

    private Optional<CountBucket> bucketAt(long number) {
        if (buckets.isEmpty() || number > buckets.getLast().number()) {
            long next = buckets.isEmpty() ? number : Math.max(buckets.getLast().number() + 1, number - MOST_BUCKETS);
            for (long fill = next; fill <= number; fill++) {
                buckets.addLast(new CountBucket(fill));
            }
            while (buckets.size() > MOST_BUCKETS) {
                buckets.removeFirst();
            }
            return Optional.of(buckets.getLast());
        }
        return buckets.stream().filter(bucket -> bucket.number() == number).findFirst();
    }

    private static boolean makesSense(KindCount count) {
        return count.requests() >= 0
                && count.promptTokens() >= 0
                && count.outputTokens() >= 0
                && (count.requests() > 0 || (count.promptTokens() == 0 && count.outputTokens() == 0));
    }
}
