package org.aspenmoor.internal.fake;

import java.util.ArrayDeque;
import java.util.Deque;
import org.aspenmoor.internal.store.ObjectKey;

/** Injects store faults in the order given by a test. */
public final class ScriptedStoreFaults implements StoreCallFaults {
    private final Deque<StoreFault> readFaults = new ArrayDeque<>();
    private final Deque<StoreFault> writeFaults = new ArrayDeque<>();
    private Runnable beforeEffect = () -> {};
    private Runnable afterEffect = () -> {};

    /** Adds a fault for the next read that has none yet. */
    public void addReadFault(StoreFault fault) {
        readFaults.add(fault);
    }

    /** Adds a fault for the next write that has none yet. */
    public void addWriteFault(StoreFault fault) {
        writeFaults.add(fault);
    }

    /** Runs an action once while the next write is in transit. */
    public void beforeNextEffect(Runnable action) {
        beforeEffect = action;
    }

    /** Runs an action once while the response to the next write is in transit. */
    public void afterNextEffect(Runnable action) {
        afterEffect = action;
    }

    @Override
    public StoreFault onRead(ObjectKey key) {
        return readFaults.isEmpty() ? StoreFault.NONE : readFaults.remove();
    }

    @Override
    public StoreFault onWrite(ObjectKey key) {
        return writeFaults.isEmpty() ? StoreFault.NONE : writeFaults.remove();
    }

    @Override
    public void beforeEffect(ObjectKey key) {
        Runnable action = beforeEffect;
        beforeEffect = () -> {};
        action.run();
    }

    @Override
    public void afterEffect(ObjectKey key) {
        Runnable action = afterEffect;
        afterEffect = () -> {};
        action.run();
    }
}
