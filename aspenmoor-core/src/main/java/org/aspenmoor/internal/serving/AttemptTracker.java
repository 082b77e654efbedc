package org.aspenmoor.internal.serving;

/**
 * What is known of where one request has been, and so what may truthfully be said of it.
 *
 * <p>A caller that is told "not run" sends a booking again. Were that said of a request whose bytes had reached a
 * backend server, the narrator would be booked twice. So this account alone decides whether a refusal is true: it is
 * told of each attempt before its first byte leaves and of each end, and forgets nothing.
 */
public final class AttemptTracker {
    /** After so many servers that take nothing, the next is unlikely to be better and the caller's time runs. */
    private static final int MAX_ATTEMPTS = 4;

    private final RetryRule rule;
    private final int maxBackends;
    private int attempts;
    private int arrivals;
    private int possibleRuns;
    private boolean promptComputed;
    private boolean attemptOpen;

    public AttemptTracker(RetryRule rule, int maxBackends) {
        this.rule = rule;
        this.maxBackends = Math.max(1, maxBackends);
    }

    /** Notes that an attempt at a server begins; from now on the request counts as possibly run there. */
    public void attemptStarted() {
        if (attemptOpen) {
            throw new IllegalStateException("An attempt began while another was open.");
        }
        attemptOpen = true;
        attempts++;
    }

    /** Notes how the open attempt ended and returns what follows; the repeat still has to be granted by the budget. */
    public NextStep attemptEnded(AttemptEnd end) {
        attemptOpen = false;
        return switch (end) {
            case AttemptEnd.NeverSent neverSent -> stepAfterNoRun();
            case AttemptEnd.NotExecuted notExecuted -> stepAfterRejection();
            case AttemptEnd.Misdirected misdirected -> stepAfterRejection();
            case AttemptEnd.Lost lost -> stepAfterPossibleRun(NextStep.REPORT_UNKNOWN);
            case AttemptEnd.Failed failed -> stepAfterPossibleRun(NextStep.PASS_FAILURE_ON);
        };
    }

    /**
     * Notes that an attempt to have only the prompt computed ended without a result. It never counts as a run, but as an
     * arrival: it has loaded an engine like a repeat.
     */
    public void promptFailed(AttemptEnd end) {
        if (!(end instanceof AttemptEnd.NeverSent)) {
            arrivals++;
        }
    }

    /** Notes that an engine has computed the prompt. Only the first time is no arrival. */
    public void promptComputed() {
        if (promptComputed) {
            arrivals++;
        }
        promptComputed = true;
    }

    /** Returns what to say where no further attempt is made. */
    public NextStep stepWithoutRetry() {
        return mayHaveRun() ? NextStep.REPORT_UNKNOWN : NextStep.REFUSE;
    }

    /** Returns whether the request may have run anywhere, or may still. */
    public boolean mayHaveRun() {
        return attemptOpen || possibleRuns > 0;
    }

    /** Returns whether the next attempt would be a repeated arrival, which draws on the shared budget. */
    public boolean nextIsRetry() {
        return arrivals > 0;
    }

    /** Returns whether another engine may go on with the answer of the open attempt. */
    public boolean mayResumeElsewhere() {
        return attemptOpen && rule == RetryRule.RESUMABLE && possibleRuns + 1 < maxBackends && attempts < MAX_ATTEMPTS;
    }

    /** Returns how many attempts began. */
    public int attempts() {
        return attempts;
    }

    private NextStep stepAfterRejection() {
        arrivals++;
        return stepAfterNoRun();
    }

    private NextStep stepAfterNoRun() {
        if (attempts >= MAX_ATTEMPTS) {
            return stepWithoutRetry();
        }
        return NextStep.REPEAT;
    }

    private NextStep stepAfterPossibleRun(NextStep stepWhereNotAllowed) {
        arrivals++;
        possibleRuns++;
        boolean retryAllowed = rule != RetryRule.AT_MOST_ONCE && possibleRuns < maxBackends && attempts < MAX_ATTEMPTS;
        return retryAllowed ? NextStep.REPEAT : stepWhereNotAllowed;
    }
}
