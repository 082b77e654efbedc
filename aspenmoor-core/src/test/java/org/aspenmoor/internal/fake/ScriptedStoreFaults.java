package org.aspenmoor.internal.fake;

import java.util.ArrayDeque;
import java.util.Deque;
import org.aspenmoor.internal.store.ObjectKey;

/** Store faults in the order in which a test wants them. */
public final class ScriptedStoreFaults implements StoreCallFaults {
    private final Deque<StoreFault> onReads = new ArrayDeque<>();
    private final Deque<StoreFault> onWrites = new ArrayDeque<>();
    private Runnable beforeEffect = () -> {};
    private Runnable afterEffect = () -> {};

    /** Makes the next read without a fault yet end in this one. */
    public void nextRead(StoreFault fault) {
        onReads.add(fault);
    }

    /** Makes the next write without a fault yet end in this one. */
    public void nextWrite(StoreFault fault) {
        onWrites.add(fault);
    }

    /** Does something once while the next write is on its way. */
    public void beforeNextEffect(Runnable action) {
        beforeEffect = action;
    }

    /** Does something once while the answer to the next write is on its way. */
    public void afterNextEffect(Runnable action) {
        afterEffect = action;
    }

    @Override
    public StoreFault onRead(ObjectKey key) {
        return onReads.isEmpty() ? StoreFault.NONE : onReads.remove();
    }

    @Override
    public StoreFault onWrite(ObjectKey key) {
        return onWrites.isEmpty() ? StoreFault.NONE : onWrites.remove();
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
