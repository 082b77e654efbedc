package org.aspenmoor.internal.serving;

/** One attempt at one backend server, as the placement expected it. Compared by identity. */
public final class PlacedWork {
    private final String server;
    private final long atNanoseconds;
    private final double workSeconds;
    private final double answerSeconds;

    PlacedWork(String server, long atNanoseconds, double workSeconds, double answerSeconds) {
        this.server = server;
        this.atNanoseconds = atNanoseconds;
        this.workSeconds = workSeconds;
        this.answerSeconds = answerSeconds;
    }

    String server() {
        return server;
    }

    long atNanoseconds() {
        return atNanoseconds;
    }

    /** Returns how long the server was expected to work before its answer begins. */
    double workSeconds() {
        return workSeconds;
    }

    /** Returns when the answer was expected to begin, with what waits before it. */
    public double answerSeconds() {
        return answerSeconds;
    }
}
