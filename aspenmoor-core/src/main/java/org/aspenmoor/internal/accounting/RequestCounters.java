package org.aspenmoor.internal.accounting;

import java.util.Optional;
import org.aspenmoor.Outcome;

/**
 * Counts the requests of one process and their outcomes.
 *
 * <p>A request that is lost because of a bug is not visible otherwise: the caller waits until its timeout, and all
 * other metrics look healthy. The equation {@code received = answered + not run + unknown + cancelled + in flight}
 * reveals it immediately. The equation and checking it at run time follow EventStream (Sharma, 2026).
 */
public final class RequestCounters {
    private long received;
    private long answered;
    private long notRun;
    private long unknown;
    private long cancelled;

    /** Counts a received request. */
    public void countReceived() {
        received++;
    }

    /** Counts a finished request by its outcome. */
    public void countFinished(Outcome outcome) {
        switch (outcome) {
            case Outcome.Answered ignored -> answered++;
            case Outcome.NotRun ignored -> notRun++;
            case Outcome.Unknown ignored -> unknown++;
        }
    }

    /** Counts a request whose caller disconnected before it finished. */
    public void countCancelled() {
        cancelled++;
    }

    /**
     * Checks the equation against the actual number of requests in flight; returns a description of the difference, if
     * any.
     */
    public Optional<String> imbalance(long inFlight) {
        long accounted = answered + notRun + unknown + cancelled + inFlight;
        if (received == accounted) {
            return Optional.empty();
        }
        return Optional.of("received " + received + " but accounted for " + accounted + ": answered " + answered
                + ", not run " + notRun + ", unknown " + unknown + ", cancelled " + cancelled + ", in flight "
                + inFlight);
    }

    /** Returns the current counts. */
    public Totals totals() {
        return new Totals(received, answered, notRun, unknown, cancelled);
    }

    /**
     * The counts at one point in time.
     *
     * @param received requests received
     * @param answered requests answered completely
     * @param notRun requests refused without having run
     * @param unknown requests whose answer was lost
     * @param cancelled requests whose caller disconnected
     */
    public record Totals(long received, long answered, long notRun, long unknown, long cancelled) {}
}
