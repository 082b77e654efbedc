package org.aspenmoor.internal.fake;

import java.util.Optional;
import org.aspenmoor.internal.store.StoredObject;

/**
 * A write that took effect.
 *
 * @param before the object that it replaced; empty if it created the object
 * @param after the object as written
 */
public record StoreWrite(Optional<StoredObject> before, StoredObject after) {}
