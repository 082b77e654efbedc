package org.aspenmoor.internal.bench.pathcost;

import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** One way to the engine, with the latencies seen on it in microseconds. */
final class Way {
    private static final long HIGHEST_MICROSECONDS = 120_000_000L;
    private static final int DIGITS = 3;
    private static final double MICROSECONDS_OF_MILLISECOND = 1000;

    private final String name;
    private final Histogram firstToken = new ConcurrentHistogram(HIGHEST_MICROSECONDS, DIGITS);
    private final Histogram whole = new ConcurrentHistogram(HIGHEST_MICROSECONDS, DIGITS);
    private final LongAdder failures = new LongAdder();
    private final LongAdder events = new LongAdder();

    Way(String name) {
        this.name = name;
    }

    void record(long firstTokenMicroseconds, long wholeMicroseconds) {
        firstToken.recordValue(firstTokenMicroseconds);
        whole.recordValue(wholeMicroseconds);
    }

    /** Counts one event of a stream; an event carries one token, the last ones of each stream carry none. */
    void event() {
        events.increment();
    }

    long events() {
        return events.sum();
    }

    void failed() {
        failures.increment();
    }

    long failures() {
        return failures.sum();
    }

    String row() {
        return String.join(
                " | ",
                "| " + name,
                String.valueOf(whole.getTotalCount()),
                String.valueOf(failures.sum()),
                milliseconds(firstToken, 50),
                milliseconds(firstToken, 99),
                milliseconds(whole, 50),
                milliseconds(whole, 99) + " |");
    }

    private static String milliseconds(Histogram histogram, double percentile) {
        return String.format("%.2f ms", histogram.getValueAtPercentile(percentile) / MICROSECONDS_OF_MILLISECOND);
    }
}
