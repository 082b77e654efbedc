package org.aspenmoor.internal.store;

import java.util.List;

/**
 * Objects at one moment.
 *
 * @param objects the objects
 * @param version where a watch that misses nothing starts
 */
public record StoreListing(List<StoredObject> objects, String version) {
    public StoreListing {
        objects = List.copyOf(objects);
    }
}
