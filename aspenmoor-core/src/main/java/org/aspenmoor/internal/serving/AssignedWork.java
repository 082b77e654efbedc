package org.aspenmoor.internal.serving;

/** One attempt at one backend server with its expected durations. Compared by identity. */
public final class AssignedWork {
    private final String server;
    private final WorkKind kind;
    private final long startedAtNanos;
    private final WorkDurations durations;
    private final double expectedAnswerSeconds;
    private final double toleratedWaitSeconds;
    private final boolean longPrompt;
    private final boolean serverWasIdle;

    AssignedWork(
            String server,
            WorkKind kind,
            long startedAtNanos,
            WorkDurations durations,
            double expectedAnswerSeconds,
            double toleratedWaitSeconds,
            boolean longPrompt,
            boolean serverWasIdle) {
        this.server = server;
        this.kind = kind;
        this.startedAtNanos = startedAtNanos;
        this.durations = durations;
        this.expectedAnswerSeconds = expectedAnswerSeconds;
        this.toleratedWaitSeconds = toleratedWaitSeconds;
        this.longPrompt = longPrompt;
        this.serverWasIdle = serverWasIdle;
    }

    WorkKind kind() {
        return kind;
    }

    /** Returns how long the work may wait at the server, in seconds, before this entry sends less work there. */
    double toleratedWaitSeconds() {
        return toleratedWaitSeconds;
    }

    /** Returns whether the work is a prompt that occupies an engine long enough to delay other requests. */
    boolean longPrompt() {
        return longPrompt;
    }

    /** Returns whether the work was not expected to wait at the server when the attempt started. */
    boolean serverWasIdle() {
        return serverWasIdle;
    }

    /** Returns the id of the server. */
    public String server() {
        return server;
    }

    /** Returns the start of the attempt on the monotonic clock. */
    public long startedAtNanos() {
        return startedAtNanos;
    }

    /** Returns how long the work takes at the speed of the settings. */
    double nominalWorkSeconds() {
        return durations.nominal();
    }

    /** Returns how many times longer than usual the server was expected to take when the attempt started. */
    double statedSlowdown() {
        return durations.statedSlowdown();
    }

    /** Returns how long the server was expected to work before its answer starts, at its usual speed. */
    double expectedWorkSeconds() {
        return durations.expected();
    }

    /** Returns how long the work takes at the learned usual speed. */
    double learnedWorkSeconds() {
        return durations.learned();
    }

    /**
     * Returns the expected time from the start of the attempt to the start of the answer, in seconds, including the
     * wait.
     */
    public double expectedAnswerSeconds() {
        return expectedAnswerSeconds;
    }
}
