package org.aspenmoor.internal.serving.limit;

/**
 * Which reports among the entries of a simulation arrive. Times are in nanoseconds.
 *
 * @param lost part of the reports that get lost, and as many of the others are late
 * @param groups number of groups of entries that do not hear each other until the given time
 * @param groupsUntil when all hear each other again
 * @param deafSpan for how long an entry at a time hears nothing, again and again; zero for never
 */
record Hearing(double lost, int groups, long groupsUntil, long deafSpan) {
    static final Hearing ALL = new Hearing(0, 1, 0, 0);

    /** Each entry is a group of its own. */
    private static final int GROUP_PER_ENTRY = Integer.MAX_VALUE;

    static Hearing lossy(double lost) {
        return new Hearing(lost, 1, 0, 0);
    }

    static Hearing groups(int groups, long until) {
        return new Hearing(0, groups, until, 0);
    }

    static Hearing noneUntil(long until) {
        return new Hearing(0, GROUP_PER_ENTRY, until, 0);
    }

    /** Returns that each entry loses all reports of a span of this length, as a process without processor time does. */
    static Hearing withDeafSpans(long span) {
        return new Hearing(0, 1, 0, span);
    }

    boolean separated(int one, int other, long now) {
        return now < groupsUntil && one % groups != other % groups;
    }
}
