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
 * Conditional writes whose lost answers are settled by reading.
 *
 * <p>When the answer to a write is lost, the object shows whether it took effect: the value carries the writer's mark,
 * such as a nonce. An object that is still as it was before proves nothing by itself, since the write may arrive later;
 * the same write on the same condition is then sent again, of which at most one can take effect.
 */
public final class SettledWrites {
    private static final int MOST_REPETITIONS = 2;

    private final ObjectStore store;

    public SettledWrites(ObjectStore store) {
        this.store = store;
    }

    /** Creates an object; recognises its own write by comparing the whole value. */
    public SettledWrite create(ObjectKey key, String value) throws StoreException {
        return create(key, value, sameValue(key, value));
    }

    /**
     * Creates an object.
     *
     * @param ours recognises an object that carries this write
     * @throws StoreException where nothing was written
     */
    public SettledWrite create(ObjectKey key, String value, Predicate<StoredObject> ours) throws StoreException {
        return settle(() -> store.create(key, value), key, Optional.empty(), ours);
    }

    /** Replaces an object; recognises its own write by comparing the whole value. */
    public SettledWrite update(StoredObject read, String value) throws StoreException {
        return update(read, value, sameValue(read.key(), value));
    }

    /**
     * Replaces an object if it still has the version that was read.
     *
     * @param ours recognises an object that carries this write
     * @throws StoreException where nothing was written
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

    // From here on a first write may be under way, so no failure may leave as "nothing was written".
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
