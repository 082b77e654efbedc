package org.aspenmoor.internal.gateway.usage;

import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreListing;
import org.aspenmoor.internal.store.StoreOutcomeUnknownException;
import org.aspenmoor.internal.store.StoreUnavailableException;
import org.aspenmoor.internal.store.StoreWatch;
import org.aspenmoor.internal.store.StoreWatchListener;
import org.aspenmoor.internal.store.StoredObject;

/** The store as one simulated entry sees it: calls fail, take effect late, or end with the entry. */
final class SimulatedDutyStore implements ObjectStore {
    private final UsageSimulation simulation;
    private final SimulatedDutyEntry entry;
    private long generation;

    SimulatedDutyStore(UsageSimulation simulation, SimulatedDutyEntry entry) {
        this.simulation = simulation;
        this.entry = entry;
    }

    @Override
    public long generation() {
        return generation;
    }

    @Override
    public Optional<StoredObject> read(ObjectKey key) throws StoreException {
        simulation.step(entry);
        requireReachable(key);
        Optional<StoredObject> object = simulation.store().read(key);
        generation = simulation.store().generation();
        simulation.step(entry);
        return object;
    }

    @Override
    public StoredObject create(ObjectKey key, String value) throws StoreException {
        return write(key, () -> simulation.store().create(key, value));
    }

    @Override
    public StoredObject update(StoredObject read, String value) throws StoreException {
        return write(read.key(), () -> simulation.store().update(read, value));
    }

    private StoredObject write(ObjectKey key, UsageSimulation.StoreWrite write) throws StoreException {
        simulation.step(entry);
        requireReachable(key);
        if (simulation.writeTakesEffectLate()) {
            simulation.addLateWrite(write);
            throw unknown(key);
        }
        StoredObject written = write.apply();
        generation = simulation.store().generation();
        simulation.step(entry);
        if (simulation.responseIsLost()) {
            throw unknown(key);
        }
        return written;
    }

    private void requireReachable(ObjectKey key) throws StoreUnavailableException {
        if (simulation.cutFromStore(entry)) {
            throw new StoreUnavailableException("The store does not respond.", key.toString(), "Retry later.");
        }
    }

    private static StoreOutcomeUnknownException unknown(ObjectKey key) {
        return new StoreOutcomeUnknownException("The response was lost.", key.toString(), "Read the object.");
    }

    @Override
    public StoreListing list(ObjectKind kind) {
        throw new UnsupportedOperationException("The simulated store does not support lists.");
    }

    @Override
    public List<StoredObject> list(ObjectKind kind, String namespace) {
        throw new UnsupportedOperationException("The simulated store does not support lists.");
    }

    @Override
    public void delete(StoredObject read) {
        throw new UnsupportedOperationException("The simulated store does not support deletions.");
    }

    @Override
    public StoreWatch watch(ObjectKind kind, String fromVersion, StoreWatchListener listener) {
        throw new UnsupportedOperationException("The simulated store does not support watches.");
    }
}
