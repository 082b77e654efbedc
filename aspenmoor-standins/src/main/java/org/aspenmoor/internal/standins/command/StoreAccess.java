package org.aspenmoor.internal.standins.command;

import java.net.URI;
import java.util.Optional;
import java.util.Random;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.store.client.HttpObjectStore;
import org.aspenmoor.internal.store.client.OutcomeResolvingWriter;
import org.aspenmoor.internal.store.client.StoreSettings;
import org.aspenmoor.internal.store.client.WriteOutcome;
import org.aspenmoor.internal.time.SystemTimeSource;

/** Reads and writes single objects of a running store. */
final class StoreAccess {
    private final HttpObjectStore store;
    private final OutcomeResolvingWriter writes;

    StoreAccess(URI address) {
        this.store = new HttpObjectStore(address, new SystemTimeSource(), new Random(), StoreSettings.defaults());
        this.writes = new OutcomeResolvingWriter(store);
    }

    Optional<StoredObject> read(ObjectKey key) throws AspenmoorException {
        return store.read(key);
    }

    /** Creates the object, or replaces the version that was read. */
    void write(ObjectKey key, Optional<StoredObject> read, String value) throws AspenmoorException {
        WriteOutcome outcome = read.isPresent() ? writes.update(read.get(), value) : writes.create(key, value);
        switch (outcome) {
            case WriteOutcome.Applied applied -> {
                // The write took effect.
            }
            case WriteOutcome.Superseded superseded ->
                throw new AspenmoorException("The object was changed concurrently.", key.toString(), "Try again.");
            case WriteOutcome.Unknown unknown -> throw unknown.cause();
        }
    }
}
