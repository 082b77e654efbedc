package org.aspenmoor.internal.bench.soak;

import java.time.Duration;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import org.aspenmoor.internal.engine.FencedOrder;
import org.aspenmoor.internal.fake.EngineCallFaults;
import org.aspenmoor.internal.fake.EngineFault;
import org.aspenmoor.internal.fake.StoreCallFaults;
import org.aspenmoor.internal.fake.StoreFault;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;

/** The faults that wait for the next calls of one process, and those that last for a while. */
final class ProcessFaults implements StoreCallFaults, EngineCallFaults {
    private final SoakWorld world;
    private final Map<FaultKind, Duration> armed = new EnumMap<>(FaultKind.class);
    private final Set<FaultKind> unnoticed = EnumSet.noneOf(FaultKind.class);
    private long cutFromStoreUntil;
    private long cutFromEngineUntil;

    ProcessFaults(SoakWorld world) {
        this.world = world;
    }

    /** Lets the fault happen with the next call that it fits. */
    void arm(FaultKind kind, Duration duration) {
        armed.put(kind, duration);
    }

    void cutFromStore(Duration duration) {
        unnoticed.add(FaultKind.CUT_FROM_STORE);
        cutFromStoreUntil = world.now() + duration.toNanos();
    }

    void cutFromEngine(Duration duration) {
        unnoticed.add(FaultKind.CUT_FROM_ENGINE);
        cutFromEngineUntil = world.now() + duration.toNanos();
    }

    @Override
    public StoreFault onRead(ObjectKey key) {
        if (storeUnreachable()) {
            return StoreFault.UNAVAILABLE;
        }
        return strikes(FaultKind.STALE_READ) ? StoreFault.STALE_READ : StoreFault.NONE;
    }

    @Override
    public StoreFault onWrite(ObjectKey key) {
        if (storeUnreachable()) {
            return StoreFault.UNAVAILABLE;
        }
        if (strikes(FaultKind.STORE_ANSWER_LOST)) {
            return StoreFault.ANSWER_LOST;
        }
        if (strikes(FaultKind.STORE_REQUEST_LOST)) {
            return StoreFault.REQUEST_LOST;
        }
        return strikes(FaultKind.STORE_WRITE_LATE) ? StoreFault.LANDS_LATE : StoreFault.NONE;
    }

    @Override
    public void beforeEffect(ObjectKey key) {
        passTimeIfArmed(FaultKind.PAUSED_BEFORE_WRITE);
        if (key.kind() == ObjectKind.ROLE_PLAN) {
            passTimeIfArmed(FaultKind.LEASE_LAPSED_IN_WRITE);
        }
    }

    @Override
    public void afterEffect(ObjectKey key) {
        passTimeIfArmed(FaultKind.PAUSED_AFTER_WRITE);
        killIfArmed();
    }

    @Override
    public EngineFault onStatus() {
        return engineUnreachable() ? EngineFault.CALL_LOST : EngineFault.NONE;
    }

    @Override
    public EngineFault onOrder(FencedOrder order) {
        if (engineUnreachable() || strikes(FaultKind.ORDER_LOST)) {
            return EngineFault.CALL_LOST;
        }
        if (strikes(FaultKind.ORDER_ANSWER_LOST)) {
            return EngineFault.ANSWER_LOST;
        }
        boolean late = strikes(FaultKind.ORDER_LATE) || strikes(FaultKind.ORDER_BEYOND_WINDOW);
        return late ? EngineFault.ARRIVES_LATE : EngineFault.NONE;
    }

    @Override
    public void beforeSending(FencedOrder order) {
        boolean beyond = armed.containsKey(FaultKind.ORDER_BEYOND_WINDOW) && !armed.containsKey(FaultKind.ORDER_LATE);
        world.orders().sent(order);
        world.scheduleLateOrder(order, beyond);
        killIfArmed();
    }

    private boolean storeUnreachable() {
        return world.storeIsOut() || noticed(world.now() < cutFromStoreUntil, FaultKind.CUT_FROM_STORE);
    }

    private boolean engineUnreachable() {
        return noticed(world.now() < cutFromEngineUntil, FaultKind.CUT_FROM_ENGINE);
    }

    /** Counts a cut once, when its process first notices it. */
    private boolean noticed(boolean cut, FaultKind kind) {
        if (cut && unnoticed.remove(kind)) {
            world.log().happened(kind);
        }
        return cut;
    }

    private void passTimeIfArmed(FaultKind kind) {
        Duration duration = armed.get(kind);
        if (strikes(kind)) {
            world.passTimeInCall(duration);
        }
    }

    private void killIfArmed() {
        if (strikes(FaultKind.KILLED_IN_CALL)) {
            throw new ProcessKilledError();
        }
    }

    private boolean strikes(FaultKind kind) {
        if (armed.remove(kind) == null) {
            return false;
        }
        world.log().happened(kind);
        return true;
    }
}
