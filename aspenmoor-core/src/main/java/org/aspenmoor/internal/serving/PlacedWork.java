package org.aspenmoor.internal.serving;

/**
 * One attempt at one backend server, as the placement expected it. Compared by identity.
 */
public final class PlacedWork {
    private final String server;
    private final long atNanoseconds;
    private final double expectedSeconds;

    public PlacedWork(String server, long atNanoseconds, double expectedSeconds) {
        this.server = server;
        this.atNanoseconds = atNanoseconds;
        this.expectedSeconds = expectedSeconds;
    }

    /** Returns the identity of the server. */
    public String server() {
        return server;
    }

    /** Returns when it was placed. */
    public long atNanoseconds() {
        return atNanoseconds;
    }

    /** Returns how long the server was expected to work before its answer begins. */
    public double expectedSeconds() {
        return expectedSeconds;
    }
}
