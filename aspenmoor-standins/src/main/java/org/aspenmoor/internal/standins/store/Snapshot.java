package org.aspenmoor.internal.standins.store;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The state of the store at one moment; used to answer as a lagging replica would.
 *
 * @param objects the objects
 * @param listings the lists, by resource
 */
record Snapshot(Map<ObjectName, Revision> objects, Map<String, ObjectListing> listings) {
    ObjectListing list(String resource, Optional<String> namespace) {
        ObjectListing all = listings.getOrDefault(resource, new ObjectListing(List.of(), 0));
        return ObjectListing.of(all.objects(), namespace, all.version());
    }
}
