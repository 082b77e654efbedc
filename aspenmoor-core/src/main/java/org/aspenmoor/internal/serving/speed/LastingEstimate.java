package org.aspenmoor.internal.serving.speed;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.aspenmoor.internal.serving.LastingSlowdown;

/**
 * The slowdown that one server incarnation states outside of slow phases. Times are nanoseconds of the monotonic clock.
 *
 * <p>This is the lower quartile of its recent statements, which stays the same while the server is slow for less than
 * three quarters of the time, and does not depend on a single statement that is too low. Handles some statements a second.
 */
final class LastingEstimate {
    /** Of the statements in between the lowest counts, so that those of a busy server also cover several slow phases. */
    private static final long SPACING_NANOSECONDS = Duration.ofMillis(200).toNanos();

    private static final int MAX_STATEMENTS = 32;

    /** That many statements cover more than one slow phase; an estimate from fewer gives way to that of a peer. */
    private static final int FIRM_STATEMENTS = 8;

    /** Statements from a shorter time may all be of one slow phase. */
    private static final long MIN_SPAN_NANOSECONDS = Duration.ofSeconds(1).toNanos();

    private static final int QUARTILE_DIVISOR = 4;

    private final Deque<Double> statements = new ArrayDeque<>();
    private long firstAt;
    private long keptAt;
    private double lowerQuartile;
    private Optional<LastingSlowdown> reported = Optional.empty();

    /** Applies a statement; each has to be later than the previous one. */
    void stated(double factor, long at) {
        if (statements.isEmpty()) {
            firstAt = at;
        }
        if (statements.isEmpty() || at - keptAt >= SPACING_NANOSECONDS) {
            keptAt = at;
            statements.addLast(factor);
        } else {
            statements.addLast(Math.min(factor, statements.removeLast()));
        }
        if (statements.size() > MAX_STATEMENTS) {
            statements.removeFirst();
        }
        lowerQuartile = statements.stream()
                .sorted()
                .skip((statements.size() - 1) / QUARTILE_DIVISOR)
                .findFirst()
                .orElseThrow();
    }

    /** Applies the estimate of another entry; one from fewer statements does not replace one from enough. */
    void reported(double factor, int statementCount) {
        int known = reported.map(LastingSlowdown::statements).orElse(0);
        if (statementCount >= Math.min(known, FIRM_STATEMENTS)) {
            reported = Optional.of(new LastingSlowdown(factor, statementCount));
        }
    }

    /** Returns the estimate from the statements that this entry knows; empty if they are too few. */
    Optional<LastingSlowdown> ownEstimate() {
        return statements.isEmpty() || keptAt - firstAt < MIN_SPAN_NANOSECONDS
                ? Optional.empty()
                : Optional.of(new LastingSlowdown(lowerQuartile, statements.size()));
    }

    /** Returns the slowdown; 1 if too little is known. */
    double factor() {
        Optional<LastingSlowdown> own = ownEstimate();
        int ownCount = own.map(LastingSlowdown::statements).orElse(0);
        return reported.filter(peer -> ownCount < FIRM_STATEMENTS && peer.statements() > ownCount)
                .or(() -> own)
                .map(LastingSlowdown::factor)
                .orElse(1.0);
    }
}
