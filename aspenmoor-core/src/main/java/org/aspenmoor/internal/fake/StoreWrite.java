package org.aspenmoor.internal.fake;

import java.util.Optional;
import org.aspenmoor.internal.store.StoredObject;

/**
 * One write that took effect.
 *
 * @param before the object that it replaced, if there was one
 * @param after the object as written
 */
public record StoreWrite(Optional<StoredObject> before, StoredObject after) {}
