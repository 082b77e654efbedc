package org.aspenmoor.internal.serving;

/** One attempt at one backend server, as the placement expected it. Compared by identity. */
public final class AssignedWork {
    private final String server;
    private final WorkKind kind;
    private final long startedAtNanos;
    private final double expectedWorkSeconds;
    private final double learnedWorkSeconds;
    private final double expectedAnswerSeconds;
    private final double toleratedWaitSeconds;
    private final boolean longPrompt;
    private final boolean serverWasIdle;

    AssignedWork(
            String server,
            WorkKind kind,
            long startedAtNanos,
            double expectedWorkSeconds,
            double learnedWorkSeconds,
            double expectedAnswerSeconds,
            double toleratedWaitSeconds,
            boolean longPrompt,
            boolean serverWasIdle) {
        this.server = server;
        this.kind = kind;
        this.startedAtNanos = startedAtNanos;
        this.expectedWorkSeconds = expectedWorkSeconds;
        this.learnedWorkSeconds = learnedWorkSeconds;
        this.expectedAnswerSeconds = expectedAnswerSeconds;
        this.toleratedWaitSeconds = toleratedWaitSeconds;
        this.longPrompt = longPrompt;
        this.serverWasIdle = serverWasIdle;
    }

    WorkKind kind() {
        return kind;
    }

    /** Returns how long it may wait at the server before this entry sends less there. */
    double toleratedWaitSeconds() {
        return toleratedWaitSeconds;
    }

    /** Returns whether it is a prompt that keeps an engine busy for longer than an answer's start. */
    boolean longPrompt() {
        return longPrompt;
    }

    /** Returns whether nothing else was known at the server when it was placed. */
    boolean serverWasIdle() {
        return serverWasIdle;
    }

    String server() {
        return server;
    }

    /** Returns when the attempt began, on the monotonic clock. */
    public long startedAtNanos() {
        return startedAtNanos;
    }

    /** Returns how long the server was expected to work before its answer begins. */
    double expectedWorkSeconds() {
        return expectedWorkSeconds;
    }

    /** Returns how long the work takes at the learnt speed. */
    double learnedWorkSeconds() {
        return learnedWorkSeconds;
    }

    /** Returns when the answer was expected to begin, with what waits before it. */
    public double expectedAnswerSeconds() {
        return expectedAnswerSeconds;
    }
}
