package org.aspenmoor.internal.accounting;

import java.util.Optional;
import org.aspenmoor.Outcome;

/**
 * Counts the requests of one process by what became of them.
 *
 * <p>A request that is dropped by a bug leaves no trace of its own: the caller waits until its time-out and every other
 * figure looks healthy. The equation {@code received = answered + not run + unknown + cancelled + in flight} shows it at
 * once. The equation and the habit of checking it in the program follow EventStream (Sharma, 2026).
 */
public final class RequestAccount {
    private long received;
    private long answered;
    private long notRun;
    private long unknown;
    private long cancelled;

    /** Counts a request that came in. */
    public void received() {
        received++;
    }

    /** Counts a request that ended. */
    public void ended(Outcome outcome) {
        switch (outcome) {
            case Outcome.Answered ignored -> answered++;
            case Outcome.NotRun ignored -> notRun++;
            case Outcome.Unknown ignored -> unknown++;
        }
    }

    /** Counts a request whose caller went away before its end. */
    public void cancelled() {
        cancelled++;
    }

    /** Checks the equation against the requests that are really held; returns the difference where it does not hold. */
    public Optional<String> imbalance(long inFlight) {
        long accounted = answered + notRun + unknown + cancelled + inFlight;
        if (received == accounted) {
            return Optional.empty();
        }
        return Optional.of("received " + received + " but accounted for " + accounted + ": answered " + answered
                + ", not run " + notRun + ", unknown " + unknown + ", cancelled " + cancelled + ", in flight "
                + inFlight);
    }

    /** Returns the counts as they stand. */
    public Totals totals() {
        return new Totals(received, answered, notRun, unknown, cancelled);
    }

    /**
     * Counts at one moment.
     *
     * @param received requests that came in
     * @param answered requests answered whole
     * @param notRun requests refused without having run
     * @param unknown requests whose answer was lost
     * @param cancelled requests whose caller went away
     */
    public record Totals(long received, long answered, long notRun, long unknown, long cancelled) {}
}
