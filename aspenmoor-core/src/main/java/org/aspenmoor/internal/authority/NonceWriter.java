package org.aspenmoor.internal.authority;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreOutcomeUnknownException;
import org.aspenmoor.internal.store.StoredFields;
import org.aspenmoor.internal.store.StoredObject;

/**
 * Performs conditional writes with a nonce, by which a write is recognised after its response was lost.
 *
 * <p>A write may take effect although its response is lost. A writer that treated this as a failure would retry, get a
 * conflict caused by its own write, and assume that another writer was first. Therefore each write contains a nonce,
 * and after a lost response the object is read: if it contains the nonce, the write took effect.
 */
final class NonceWriter {
    private final ObjectStore store;
    private final RandomGenerator random;

    NonceWriter(ObjectStore store, RandomGenerator random) {
        this.store = store;
        this.random = random;
    }

    /** Returns a new random nonce. */
    String newNonce() {
        return String.format("%016x%016x", random.nextLong(), random.nextLong());
    }

    /**
     * Creates the object, or replaces the version that was read.
     *
     * @throws StoreOutcomeUnknownException if the object read after a lost response does not contain the nonce; the
     *     write may still arrive, so the object has to be read again before any further action
     */
    StoredObject write(ObjectKey key, Optional<StoredObject> base, String nonce, String value) throws StoreException {
        try {
            return base.isEmpty() ? store.create(key, value) : store.update(base.get(), value);
        } catch (StoreOutcomeUnknownException responseLost) {
            Optional<StoredObject> current = store.read(key);
            if (current.isPresent()
                    && StoredFields.of(current.get()).text("nonce").equals(nonce)) {
                return current.get();
            }
            throw responseLost;
        }
    }
}
