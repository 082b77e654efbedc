package org.aspenmoor.internal.usage;

/** Is notified of what happens to each window. */
public interface UsageListener {
    /** A window was decided and stored. */
    void decided(UsageReport report, long fencingNumber);

    /** The receiver has accepted a report. */
    void accepted(UsageReport report, long fencingNumber);

    /** A report was sent and not accepted; it will be sent again. */
    void notAccepted(UsageReport report, long fencingNumber, String reason);

    /** A window will never be reported. */
    void missed(long window, String reason);

    /** The duty could not be performed now; it will be tried again. */
    void postponed(String reason);
}
