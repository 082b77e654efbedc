package org.aspenmoor.internal.store.client;

import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoredObject;

/** A write that takes effect only if the object has the expected version. */
@FunctionalInterface
interface ConditionalWrite {
    StoredObject send() throws StoreException;
}
