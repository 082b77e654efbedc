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
public final class OutcomeResolvingWriter {
    private static final int MAX_RETRIES = 2;

    private final ObjectStore store;

    public OutcomeResolvingWriter(ObjectStore store) {
        this.store = store;
    }

    /** Creates an object; recognises its own write by comparing the complete value. */
    public WriteOutcome create(ObjectKey key, String value) throws StoreException {
        return create(key, value, sameValue(key, value));
    }

    /**
     * Creates an object.
     *
     * @param isOwnWrite recognises an object that contains this write
     * @throws StoreException if nothing was written
     */
    public WriteOutcome create(ObjectKey key, String value, Predicate<StoredObject> isOwnWrite) throws StoreException {
        return resolve(() -> store.create(key, value), key, Optional.empty(), isOwnWrite);
    }

    /** Replaces an object; recognises its own write by comparing the complete value. */
    public WriteOutcome update(StoredObject read, String value) throws StoreException {
        return update(read, value, sameValue(read.key(), value));
    }

    /**
     * Replaces an object if it still has the version that was read.
     *
     * @param isOwnWrite recognises an object that contains this write
     * @throws StoreException if nothing was written
     */
    public WriteOutcome update(StoredObject read, String value, Predicate<StoredObject> isOwnWrite)
            throws StoreException {
        return resolve(() -> store.update(read, value), read.key(), Optional.of(read.version()), isOwnWrite);
    }

    private WriteOutcome resolve(
            ConditionalWrite write, ObjectKey key, Optional<String> condition, Predicate<StoredObject> isOwnWrite)
            throws StoreException {
        try {
            return new WriteOutcome.Applied(write.send());
        } catch (StoreConflictException conflict) {
            return new WriteOutcome.Superseded(Optional.empty());
        } catch (StoreOutcomeUnknownException responseLost) {
            return resolveByReading(write, key, condition, isOwnWrite, responseLost);
        }
    }

    // The first write may still arrive, so no exception that means "nothing was written" may leave this method.
    private WriteOutcome resolveByReading(
            ConditionalWrite write,
            ObjectKey key,
            Optional<String> condition,
            Predicate<StoredObject> isOwnWrite,
            StoreOutcomeUnknownException responseLost) {
        StoreException cause = responseLost;
        for (int retry = 0; retry < MAX_RETRIES; retry++) {
            try {
                Optional<WriteOutcome> outcome = readOutcome(key, condition, isOwnWrite);
                return outcome.isPresent() ? outcome.get() : new WriteOutcome.Applied(write.send());
            } catch (StoreConflictException conflict) {
                cause = conflict;
            } catch (StoreOutcomeUnknownException responseLostAgain) {
                cause = responseLostAgain;
            } catch (StoreException unreadable) {
                return new WriteOutcome.Unknown(unreadable);
            }
        }
        return readOnceMore(key, condition, isOwnWrite, cause);
    }

    private WriteOutcome readOnceMore(
            ObjectKey key, Optional<String> condition, Predicate<StoredObject> isOwnWrite, StoreException cause) {
        try {
            return readOutcome(key, condition, isOwnWrite).orElseGet(() -> new WriteOutcome.Unknown(cause));
        } catch (StoreException unreadable) {
            return new WriteOutcome.Unknown(unreadable);
        }
    }

    /** Reads the object and returns the outcome of the write; empty if the object is unchanged, which proves nothing. */
    private Optional<WriteOutcome> readOutcome(
            ObjectKey key, Optional<String> condition, Predicate<StoredObject> isOwnWrite) throws StoreException {
        Optional<StoredObject> current = store.read(key);
        if (current.filter(isOwnWrite).isPresent()) {
            return Optional.of(new WriteOutcome.Applied(current.get()));
        }
        if (!current.map(StoredObject::version).equals(condition)) {
            return Optional.of(new WriteOutcome.Superseded(current));
        }
        return Optional.empty();
    }

    private static Predicate<StoredObject> sameValue(ObjectKey key, String value) throws StoreMalformedException {
        JsonNode expected = ObjectCodec.tree(key.toString(), value);
        return object -> {
            try {
                return ObjectCodec.tree(key.toString(), object.value()).equals(expected);
            } catch (StoreMalformedException unreadable) {
                return false;
            }
        };
    }
}
