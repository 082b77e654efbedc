package org.aspenmoor.internal.store.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.function.Predicate;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreConflictException;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoreOutcomeUnknownException;
import org.aspenmoor.internal.store.StoredObject;

/**
 * Performs conditional writes and resolves an unknown outcome by reading the object.
 *
 * <p>If the response to a write is lost, the object shows whether the write took effect, because the value contains a
 * marker of the writer, such as a nonce. An unchanged object proves nothing, since the write may still arrive. In that
 * case the same write is sent again with the same condition; at most one of the two can take effect.
 */
public final class SettledWrites {
    private static final int MOST_REPETITIONS = 2;

    private final ObjectStore store;

    public SettledWrites(ObjectStore store) {
        this.store = store;
    }

    /** Creates an object; recognises its own write by comparing the complete value. */
    public SettledWrite create(ObjectKey key, String value) throws StoreException {
        return create(key, value, sameValue(key, value));
    }

    /**
     * Creates an object.
     *
     * @param ours recognises an object that contains this write
     * @throws StoreException if nothing was written
     */
    public SettledWrite create(ObjectKey key, String value, Predicate<StoredObject> ours) throws StoreException {
        return settle(() -> store.create(key, value), key, Optional.empty(), ours);
    }

    /** Replaces an object; recognises its own write by comparing the complete value. */
    public SettledWrite update(StoredObject read, String value) throws StoreException {
        return update(read, value, sameValue(read.key(), value));
    }

    /**
     * Replaces an object if it still has the version that was read.
     *
     * @param ours recognises an object that contains this write
     * @throws StoreException if nothing was written
     */
    public SettledWrite update(StoredObject read, String value, Predicate<StoredObject> ours) throws StoreException {
        return settle(() -> store.update(read, value), read.key(), Optional.of(read.version()), ours);
    }

    private SettledWrite settle(
            ConditionalWrite write, ObjectKey key, Optional<String> condition, Predicate<StoredObject> ours)
            throws StoreException {
        try {
            return new SettledWrite.Applied(write.send());
        } catch (StoreConflictException moved) {
            return new SettledWrite.Lost(Optional.empty());
        } catch (StoreOutcomeUnknownException lost) {
            return settleByReading(write, key, condition, ours, lost);
        }
    }

    // The first write may still arrive, so no exception that means "nothing was written" may leave this method.
    private SettledWrite settleByReading(
            ConditionalWrite write,
            ObjectKey key,
            Optional<String> condition,
            Predicate<StoredObject> ours,
            StoreOutcomeUnknownException lost) {
        StoreException cause = lost;
        for (int repetition = 0; repetition < MOST_REPETITIONS; repetition++) {
            try {
                Optional<StoredObject> current = store.read(key);
                if (current.filter(ours).isPresent()) {
                    return new SettledWrite.Applied(current.get());
                }
                if (!current.map(StoredObject::version).equals(condition)) {
                    return new SettledWrite.Lost(current);
                }
                return new SettledWrite.Applied(write.send());
            } catch (StoreConflictException moved) {
                cause = moved;
            } catch (StoreOutcomeUnknownException lostAgain) {
                cause = lostAgain;
            } catch (StoreException unreadable) {
                return new SettledWrite.StillUnknown(unreadable);
            }
        }
        return lastLook(key, condition, ours, cause);
    }

    private SettledWrite lastLook(
            ObjectKey key, Optional<String> condition, Predicate<StoredObject> ours, StoreException cause) {
        try {
            Optional<StoredObject> current = store.read(key);
            if (current.filter(ours).isPresent()) {
                return new SettledWrite.Applied(current.get());
            }
            if (!current.map(StoredObject::version).equals(condition)) {
                return new SettledWrite.Lost(current);
            }
            return new SettledWrite.StillUnknown(cause);
        } catch (StoreException unreadable) {
            return new SettledWrite.StillUnknown(unreadable);
        }
    }

    private static Predicate<StoredObject> sameValue(ObjectKey key, String value) throws StoreMalformedException {
        JsonNode wanted = ObjectCodec.tree(key.toString(), value);
        return object -> {
            try {
                return ObjectCodec.tree(key.toString(), object.value()).equals(wanted);
            } catch (StoreMalformedException unreadable) {
                return false;
            }
        };
    }
}
