package org.aspenmoor.internal.serving;

import java.util.Map;

/**
 * What another entry said of its own part of the load.
 *
 * @param entry its name
 * @param start tells its starts apart
 * @param sequence grows with each report of one start
 * @param shares its part of the load, by backend server
 * @param leaving whether it is stopping
 */
public record PeerReport(String entry, long start, long sequence, Map<String, PeerShare> shares, boolean leaving) {
    public PeerReport {
        shares = Map.copyOf(shares);
    }
}
