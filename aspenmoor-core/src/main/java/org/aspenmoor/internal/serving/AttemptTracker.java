package org.aspenmoor.internal.serving;

/**
 * Tracks the attempts of one request and decides what may be reported about it.
 *
 * <p>A caller that receives "not run" may send a request again even if it is not idempotent. If the first copy had
 * reached a backend server, the request could run twice. This class is therefore the only place that decides whether
 * "not run" is true. It has to be notified of each attempt before the first byte is sent and of the end of each
 * attempt.
 */
public final class AttemptTracker {
    /** After this many attempts another server is unlikely to accept the request, and the caller's time is limited. */
    private static final int MAX_ATTEMPTS = 4;

    private final RetryRule rule;
    private final int maxBackends;
    private int attempts;
    /**
     * Attempts that have reached a server and repeated computations of the prompt; after the first, every further
     * attempt counts as a retry.
     */
    private int arrivals;

    private int possibleRuns;
    private boolean promptComputed;
    private boolean attemptOpen;

    public AttemptTracker(RetryRule rule, int maxBackends) {
        this.rule = rule;
        this.maxBackends = Math.max(1, maxBackends);
    }

    /** Records the start of an attempt. From now on the request counts as possibly run on that server. */
    public void attemptStarted() {
        if (attemptOpen) {
            throw new IllegalStateException("Cannot start an attempt: the previous attempt has not ended.");
        }
        attemptOpen = true;
        attempts++;
    }

    /**
     * Records how the open attempt ended and returns the next step. A retry still has to be granted by the retry
     * allowance.
     */
    public NextStep attemptEnded(AttemptEnd end) {
        attemptOpen = false;
        return switch (end) {
            case AttemptEnd.NeverSent neverSent -> stepAfterNoRun();
            case AttemptEnd.Withheld withheld -> stepAfterNoRun();
            case AttemptEnd.NotExecuted notExecuted -> stepAfterRejection();
            case AttemptEnd.TurnedAway turnedAway -> stepAfterRejection();
            case AttemptEnd.Misdirected misdirected -> stepAfterRejection();
            case AttemptEnd.Lost lost -> stepAfterPossibleRun(NextStep.REPORT_UNKNOWN);
            case AttemptEnd.Failed failed -> stepAfterPossibleRun(NextStep.PASS_FAILURE_ON);
        };
    }

    /**
     * Records that an attempt to compute only the prompt ended without a result. It never counts as a run. Unless it
     * was never sent, it counts as an arrival, so that the next attempt is a retry, because it has loaded an engine.
     */
    public void promptFailed(AttemptEnd end) {
        if (!(end instanceof AttemptEnd.NeverSent || end instanceof AttemptEnd.Withheld)) {
            arrivals++;
        }
    }

    /**
     * Records that an engine has computed the prompt. Each computation after the first counts as an arrival, so that
     * the next attempt is a retry.
     */
    public void promptComputed() {
        if (promptComputed) {
            arrivals++;
        }
        promptComputed = true;
    }

    /** Returns the next step if no further attempt is made. */
    public NextStep stepWithoutRetry() {
        return mayHaveRun() ? NextStep.REPORT_UNKNOWN : NextStep.REFUSE;
    }

    /** Returns whether the request may have run, or may still run, on any server. */
    public boolean mayHaveRun() {
        return attemptOpen || possibleRuns > 0;
    }

    /**
     * Returns how many retries the shared retry allowance has to have granted in all before the next attempt; zero if it
     * would be the first.
     */
    public int requiredRetries() {
        return arrivals;
    }

    /** Returns whether another engine may continue the answer of the open attempt. */
    public boolean mayResumeElsewhere() {
        return rule == RetryRule.RESUMABLE && mayReplaceOpenAttempt();
    }

    /** Returns whether another attempt may follow if the open one is given up now. */
    public boolean mayReplaceOpenAttempt() {
        return attemptOpen && mayFollow(possibleRuns + 1);
    }

    /** Returns how many attempts have been started. */
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

    private NextStep stepAfterPossibleRun(NextStep fallback) {
        arrivals++;
        possibleRuns++;
        return mayFollow(possibleRuns) ? NextStep.REPEAT : fallback;
    }

    /** Returns whether another attempt may follow attempts of which so many have possibly run. */
    private boolean mayFollow(int runs) {
        return rule != RetryRule.AT_MOST_ONCE && runs < maxBackends && attempts < MAX_ATTEMPTS;
    }
}
