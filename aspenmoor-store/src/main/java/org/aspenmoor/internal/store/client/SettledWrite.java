package org.aspenmoor.internal.store.client;

import java.util.Optional;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoredObject;

/** What became of a conditional write. */
public sealed interface SettledWrite {
    /**
     * The write took effect.
     *
     * @param object the object that carries it, perhaps with later changes
     */
    record Applied(StoredObject object) implements SettledWrite {}

    /**
     * The object does not carry the write and never will from this call.
     *
     * <p>After a lost answer the write may have taken effect and been replaced since; a writer that must know leaves its
     * mark in the value and has its successors carry it on.
     *
     * @param current the object as it is now, empty where there is none or it was not read
     */
    record Lost(Optional<StoredObject> current) implements SettledWrite {}

    /**
     * Nobody knows: the answer was lost and the object could not be read since.
     *
     * @param cause why it could not be settled
     */
    record StillUnknown(StoreException cause) implements SettledWrite {}
}
