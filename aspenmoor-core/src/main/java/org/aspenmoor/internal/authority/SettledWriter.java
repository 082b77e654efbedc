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
 * Conditional writes whose lost answers are settled by reading.
 *
 * <p>The store may take a write and lose the answer. A writer that took this for a failure would try again, meet its own
 * write as a conflict, and believe that somebody else had won. So each write carries a nonce, and after a lost answer
 * the object is read: if it bears the nonce, the write took effect.
 */
final class SettledWriter {
    private final ObjectStore store;
    private final RandomGenerator random;

    SettledWriter(ObjectStore store, RandomGenerator random) {
        this.store = store;
        this.random = random;
    }

    /** Draws a nonce for the next write. */
    String drawNonce() {
        return String.format("%016x%016x", random.nextLong(), random.nextLong());
    }

    /**
     * Creates the object, or replaces the version that was read.
     *
     * @throws StoreOutcomeUnknownException where the read after a lost answer does not show the nonce; the write may
     *     still be on its way, and whoever acts next reads the object first
     */
    StoredObject write(ObjectKey key, Optional<StoredObject> base, String nonce, String value) throws StoreException {
        try {
            return base.isEmpty() ? store.create(key, value) : store.update(base.get(), value);
        } catch (StoreOutcomeUnknownException lost) {
            Optional<StoredObject> now = store.read(key);
            if (now.isPresent() && StoredFields.of(now.get()).text("nonce").equals(nonce)) {
                return now.get();
            }
            throw lost;
        }
    }
}
