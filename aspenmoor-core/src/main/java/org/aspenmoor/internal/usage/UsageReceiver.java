package org.aspenmoor.internal.usage;

import java.time.Duration;

/** The platform's receiver of usage reports. */
public interface UsageReceiver {
    /**
     * Sends a report and waits for the answer. If there is none within the timeout, the call is withdrawn, so that it
     * cannot arrive after the lease of the sender has expired.
     *
     * @param fencingNumber the fencing number of the sender's lease
     */
    Result send(UsageReport report, long fencingNumber, Duration timeout) throws InterruptedException;

    /** The outcome of sending a report. */
    sealed interface Result {
        /** The receiver has the report. */
        record Accepted() implements Result {}

        /** The receiver does not have the report, or it is unknown whether it has; the same report may be sent again. */
        record Failed(String reason) implements Result {}
    }
}
