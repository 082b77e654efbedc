package org.aspenmoor.internal.gateway.peers;

import org.aspenmoor.internal.serving.PeerReport;

/** Supplies the reports that an entry sends to the others. */
@FunctionalInterface
public interface ReportSource {
    /**
     * Returns a report of the entry's present state.
     *
     * @param entry the entry's name
     * @param incarnation distinguishes restarts of the entry
     * @param sequence increases with each report of one incarnation
     */
    PeerReport createReport(String entry, long incarnation, long sequence);
}
