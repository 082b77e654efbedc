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

/** A store whose next writes fail as scripted by the test. */
final class ScriptedObjectStore implements ObjectStore {
    /** The fault that is injected into one write. */
    enum Fault {
        /** The write succeeds. */
        NONE,
        /** The write takes effect and its answer is lost. */
        ANSWER_LOST,
        /** The write is lost before it reaches the store. */
        REQUEST_LOST,
        /** The store refuses the write without effect. */
        UNAVAILABLE,
        /** The process is killed before the write. */
        KILLED_BEFORE,
        /** The process is killed after the write took effect. */
        KILLED_AFTER
    }

    /** Simulates that the process is killed. */
    static final class KilledException extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    private final InMemoryObjectStore memory = new InMemoryObjectStore();
    private final Deque<Fault> faults = new ArrayDeque<>();
    private Runnable actionBeforeWrite = () -> {};
    private int writesUntilAction;
    private Optional<StoredObject> laggingAnswer = Optional.empty();

    InMemoryObjectStore memory() {
        return memory;
    }

    void failNextWrites(List<Fault> next) {
        faults.addAll(next);
    }

    /** Runs an action directly before the write with the given number, counted from 1. */
    void beforeWrite(int number, Runnable action) {
        writesUntilAction = number;
        actionBeforeWrite = action;
    }

    /** Answers reads of an object with an earlier version, like a lagging replica. */
    void answerReadsWithOutdated(StoredObject earlier) {
        laggingAnswer = Optional.of(earlier);
    }

    @Override
    public Optional<StoredObject> read(ObjectKey key) {
        if (laggingAnswer.filter(earlier -> earlier.key().equals(key)).isPresent()) {
            return laggingAnswer;
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
            actionBeforeWrite.run();
        }
        Fault fault = faults.isEmpty() ? Fault.NONE : faults.removeFirst();
        return switch (fault) {
            case NONE -> write.run();
            case UNAVAILABLE -> throw new StoreUnavailableException("The store is down.", "store", "Wait.");
            case REQUEST_LOST -> throw new StoreOutcomeUnknownException("No answer was received.", "store", "Read.");
            case KILLED_BEFORE -> throw new KilledException();
            case ANSWER_LOST -> {
                runWithoutAnswer(write);
                throw new StoreOutcomeUnknownException("No answer was received.", "store", "Read.");
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
            // The answer is lost in either case, so the caller does not learn of the conflict.
        }
    }

    /** A write into which a fault is injected. */
    private interface Write {
        StoredObject run() throws StoreException;
    }
}
