package org.aspenmoor.internal.store;

import java.util.List;

/**
 * The objects of one kind at one point in time.
 *
 * @param objects the objects
 * @param version the version from which a watch sees every later change
 */
public record StoreListing(List<StoredObject> objects, String version) {
    public StoreListing {
        objects = List.copyOf(objects);
    }
}
