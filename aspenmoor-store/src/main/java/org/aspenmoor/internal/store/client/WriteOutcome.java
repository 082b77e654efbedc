package org.aspenmoor.internal.store.client;

import java.util.Optional;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoredObject;

/** The outcome of a conditional write. */
public sealed interface WriteOutcome {
    /**
     * The write took effect.
     *
     * @param object the object that contains the write, possibly with later changes
     */
    record Applied(StoredObject object) implements WriteOutcome {}

    /**
     * The object does not contain the write, and this call can no longer change it.
     *
     * <p>If a response was lost, the write may have taken effect and been replaced since. A writer that needs to know
     * puts a marker into the value, which later writers have to preserve.
     *
     * @param current the object as last read; empty if it does not exist or was not read
     */
    record Superseded(Optional<StoredObject> current) implements WriteOutcome {}

    /**
     * The outcome is unknown: the response was lost, and reading the object did not resolve it.
     *
     * @param cause why the outcome could not be resolved
     */
    record Unknown(StoreException cause) implements WriteOutcome {}
}
