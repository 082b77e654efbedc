package org.aspenmoor.internal.document;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.store.InMemoryObjectStore;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreConflictException;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreListing;
import org.aspenmoor.internal.store.StoreOutcomeUnknownException;
import org.aspenmoor.internal.store.StoreUnavailableException;
import org.aspenmoor.internal.store.StoreWatch;
import org.aspenmoor.internal.store.StoreWatchListener;
import org.aspenmoor.internal.store.StoredObject;

/** A store whose next writes go wrong in the ways that a test lists. */
final class ScriptedObjectStore implements ObjectStore {
    /** What becomes of one write. */
    enum Fault {
        /** Nothing goes wrong. */
        NONE,
        /** The write takes effect and its answer is lost. */
        ANSWER_LOST,
        /** The write is lost on its way. */
        REQUEST_LOST,
        /** The store says that it did nothing. */
        UNAVAILABLE,
        /** The process is killed before the write. */
        KILLED_BEFORE,
        /** The process is killed after the write took effect. */
        KILLED_AFTER
    }

    /** Stands for the end of the process. */
    static final class KilledException extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    private final InMemoryObjectStore memory = new InMemoryObjectStore();
    private final Deque<Fault> faults = new ArrayDeque<>();
    private Runnable beforeScheduledWrite = () -> {};
    private int writesUntilAction;
    private Optional<StoredObject> stale = Optional.empty();

    InMemoryObjectStore memory() {
        return memory;
    }

    void failNextWrites(List<Fault> next) {
        faults.addAll(next);
    }

    /** Lets something happen right before a write, counted from 1. */
    void beforeWrite(int number, Runnable action) {
        writesUntilAction = number;
        beforeScheduledWrite = action;
    }

    /** Answers reads of an object with an earlier version, as a replica that lags does. */
    void answerReadsWith(StoredObject earlier) {
        stale = Optional.of(earlier);
    }

    @Override
    public Optional<StoredObject> read(ObjectKey key) {
        if (stale.filter(earlier -> earlier.key().equals(key)).isPresent()) {
            return stale;
        }
        return memory.read(key);
    }

    @Override
    public StoreListing list(ObjectKind kind) {
        return memory.list(kind);
    }

    @Override
    public List<StoredObject> list(ObjectKind kind, String namespace) {
        return memory.list(kind, namespace);
    }

    @Override
    public StoredObject create(ObjectKey key, String value) throws StoreException {
        return write(() -> memory.create(key, value));
    }

    @Override
    public StoredObject update(StoredObject read, String value) throws StoreException {
        return write(() -> memory.update(read, value));
    }

    @Override
    public void delete(StoredObject read) throws StoreException {
        memory.delete(read);
    }

    @Override
    public StoreWatch watch(ObjectKind kind, String fromVersion, StoreWatchListener listener) {
        return memory.watch(kind, fromVersion, listener);
    }

    private StoredObject write(Write write) throws StoreException {
        writesUntilAction--;
        if (writesUntilAction == 0) {
            beforeScheduledWrite.run();
        }
        Fault fault = faults.isEmpty() ? Fault.NONE : faults.removeFirst();
        return switch (fault) {
            case NONE -> write.run();
            case UNAVAILABLE -> throw new StoreUnavailableException("The store is down.", "store", "Wait.");
            case REQUEST_LOST -> throw new StoreOutcomeUnknownException("No answer came.", "store", "Read.");
            case KILLED_BEFORE -> throw new KilledException();
            case ANSWER_LOST -> {
                runWithoutAnswer(write);
                throw new StoreOutcomeUnknownException("No answer came.", "store", "Read.");
            }
            case KILLED_AFTER -> {
                runWithoutAnswer(write);
                throw new KilledException();
            }
        };
    }

    private static void runWithoutAnswer(Write write) throws StoreException {
        try {
            write.run();
        } catch (StoreConflictException answerLost) {
            // The caller learns nothing of the conflict either.
        }
    }

    /** A write that the fault applies to. */
    private interface Write {
        StoredObject run() throws StoreException;
    }
}
