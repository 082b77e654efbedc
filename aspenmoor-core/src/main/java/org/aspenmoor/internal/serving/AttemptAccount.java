package org.aspenmoor.internal.serving;

/**
 * What is known of where one request has been, and so what may truthfully be said of it.
 *
 * <p>A caller that is told "not run" sends a booking again. Were that said of a request whose bytes had reached a
 * backend server, the narrator would be booked twice. So this account alone decides whether a refusal is true: it is
 * told of each attempt before its first byte leaves and of each end, and forgets nothing.
 */
public final class AttemptAccount {
    /** After so many servers that take nothing, the next is unlikely to be better and the caller's time runs. */
    private static final int MOST_ATTEMPTS = 4;

    private final RepeatRule rule;
    private final int mostBackends;
    private int attempts;
    private int arrivals;
    private int mayHaveRunOn;
    private boolean promptComputed;
    private boolean open;

    public AttemptAccount(RepeatRule rule, int mostBackends) {
        this.rule = rule;
        this.mostBackends = Math.max(1, mostBackends);
    }

    /** Notes that an attempt at a server begins; from now on the request counts as possibly run there. */
    public void began() {
        if (open) {
            throw new IllegalStateException("An attempt began while another was open.");
        }
        open = true;
        attempts++;
    }

    /** Notes how the open attempt ended and returns what follows; the repeat still has to be granted by the budget. */
    public NextStep ended(AttemptEnd end) {
        open = false;
        return switch (end) {
            case AttemptEnd.NeverSent neverSent -> afterNoRun();
            case AttemptEnd.NotExecuted notExecuted -> afterRejection();
            case AttemptEnd.Misdirected misdirected -> afterRejection();
            case AttemptEnd.Lost lost -> afterRun(NextStep.REPORT_UNKNOWN);
            case AttemptEnd.Failed failed -> afterRun(NextStep.PASS_FAILURE_ON);
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
    public NextStep conclusion() {
        return mayHaveRun() ? NextStep.REPORT_UNKNOWN : NextStep.REFUSE;
    }

    /** Returns whether the request may have run anywhere, or may still. */
    public boolean mayHaveRun() {
        return open || mayHaveRunOn > 0;
    }

    /** Returns whether the next attempt would be a repeated arrival, which draws on the shared budget. */
    public boolean nextIsRepeat() {
        return arrivals > 0;
    }

    /** Returns whether another engine may go on with the answer of the open attempt. */
    public boolean mayGoOnElsewhere() {
        return open && rule == RepeatRule.RESUMABLE && mayHaveRunOn + 1 < mostBackends && attempts < MOST_ATTEMPTS;
    }

    /** Returns how many attempts began. */
    public int attempts() {
        return attempts;
    }

    private NextStep afterRejection() {
        arrivals++;
        return afterNoRun();
    }

    private NextStep afterNoRun() {
        if (attempts >= MOST_ATTEMPTS) {
            return conclusion();
        }
        return NextStep.REPEAT;
    }

    private NextStep afterRun(NextStep otherwise) {
        arrivals++;
        mayHaveRunOn++;
        boolean allowed = rule != RepeatRule.AT_MOST_ONCE && mayHaveRunOn < mostBackends && attempts < MOST_ATTEMPTS;
        return allowed ? NextStep.REPEAT : otherwise;
    }
}
