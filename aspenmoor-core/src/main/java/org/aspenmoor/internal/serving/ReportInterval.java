package org.aspenmoor.internal.serving;

import java.time.Duration;

/** The interval of the reports between entries, and how long what they state is kept. */
public final class ReportInterval {
    /** Minimum interval between reports, used with few entries; an engine takes about this long for one long prompt. */
    private static final Duration MIN_INTERVAL = Duration.ofMillis(100);

    /** Interval added per peer, so that the number of reports an entry sends and receives per second stays bounded. */
    private static final Duration INTERVAL_PER_PEER = Duration.ofMillis(10);

    private static final Duration MIN_RETENTION = Duration.ofMillis(1500);

    /** Two reports in succession may be lost. */
    private static final int RETAINED_INTERVALS = 3;

    private ReportInterval() {}

    /** Returns the interval at which an entry with this many peers reports. */
    public static Duration of(int peers) {
        return longer(INTERVAL_PER_PEER.multipliedBy(peers), MIN_INTERVAL);
    }

    /** Returns how long a report counts that was received from one of this many peers. */
    public static Duration retention(int peers) {
        return longer(of(peers).multipliedBy(RETAINED_INTERVALS), MIN_RETENTION);
    }

    private static Duration longer(Duration one, Duration other) {
        return one.compareTo(other) > 0 ? one : other;
    }
}
