package org.aspenmoor.internal.gateway.peers;

import java.net.InetSocketAddress;
import java.util.Map;
import org.aspenmoor.internal.serving.entries.EntryListing;
import org.aspenmoor.internal.serving.origin.OriginListing;

/**
 * What the store says of the entries.
 *
 * @param addresses where each entry receives reports, by entry name
 * @param listing their registrations
 * @param origins where they may have begun streams
 */
public record ListedEntries(Map<String, InetSocketAddress> addresses, EntryListing listing, OriginListing origins) {
    public ListedEntries {
        addresses = Map.copyOf(addresses);
    }
}
