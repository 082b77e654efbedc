package org.aspenmoor.internal.serving;

/** One attempt at one backend server, as the placement expected it. Compared by identity. */
public final class PlacedWork {
    private final String server;
    private final WorkKind kind;
    private final long atNanoseconds;
    private final double workSeconds;
    private final double speedSeconds;
    private final double answerSeconds;
    private final double toleratedSeconds;
    private final boolean longPrompt;
    private final boolean alone;

    PlacedWork(
            String server,
            WorkKind kind,
            long atNanoseconds,
            double workSeconds,
            double speedSeconds,
            double answerSeconds,
            double toleratedSeconds,
            boolean longPrompt,
            boolean alone) {
        this.server = server;
        this.kind = kind;
        this.atNanoseconds = atNanoseconds;
        this.workSeconds = workSeconds;
        this.speedSeconds = speedSeconds;
        this.answerSeconds = answerSeconds;
        this.toleratedSeconds = toleratedSeconds;
        this.longPrompt = longPrompt;
        this.alone = alone;
    }

    WorkKind kind() {
        return kind;
    }

    /** Returns how long it may wait at the server before this entry sends less there. */
    double toleratedSeconds() {
        return toleratedSeconds;
    }

    /** Returns whether it is a prompt that keeps an engine busy for longer than an answer's start. */
    boolean longPrompt() {
        return longPrompt;
    }

    /** Returns whether nothing else was known at the server when it was placed. */
    boolean alone() {
        return alone;
    }

    String server() {
        return server;
    }

    /** Returns when the attempt began, on the monotonic clock. */
    public long atNanoseconds() {
        return atNanoseconds;
    }

    /** Returns how long the server was expected to work before its answer begins. */
    double workSeconds() {
        return workSeconds;
    }

    /** Returns how long the work takes at the learnt speed. */
    double speedSeconds() {
        return speedSeconds;
    }

    /** Returns when the answer was expected to begin, with what waits before it. */
    public double answerSeconds() {
        return answerSeconds;
    }
}
