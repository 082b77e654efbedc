package org.aspenmoor.internal.fake;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.aspenmoor.internal.engine.EngineControl;
import org.aspenmoor.internal.engine.EngineLoad;
import org.aspenmoor.internal.engine.EngineOrder;
import org.aspenmoor.internal.engine.EngineRefusedOrderException;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.engine.EngineStatus;
import org.aspenmoor.internal.engine.FencedOrder;
import org.aspenmoor.internal.engine.OrderState;

/** An in-memory engine that executes orders; it checks or ignores fencing numbers, and crashes on demand. */
public final class FakeEngine {
    private static final int CACHE_PIECES = 2000;

    private final String name;
    private final boolean checksFencingNumbers;
    private final List<OrderArrival> arrivals = new ArrayList<>();
    private final List<FencedOrder> inTransit = new ArrayList<>();
    private final List<Consumer<OrderArrival>> listeners = new ArrayList<>();
    private final Set<String> loaded = new HashSet<>();
    private int startCount = 1;
    private int runningStreams;
    private long highestFencingNumber;
    private EngineRole role = EngineRole.WHOLE;
    private Optional<FencedOrder> lastOrder = Optional.empty();
    private OrderState lastState = OrderState.NEVER_SEEN;

    public FakeEngine(String name, boolean checksFencingNumbers) {
        this.name = name;
        this.checksFencingNumbers = checksFencingNumbers;
    }

    /** Returns a control interface for one agent, with its own faults. */
    public EngineControl control(EngineCallFaults faults) {
        return new FakeEngineControl(this, faults);
    }

    /** Registers a listener that is called with every order that arrives. */
    public void addArrivalListener(Consumer<OrderArrival> listener) {
        listeners.add(listener);
    }

    /** Returns whether the engine checks fencing numbers. */
    public boolean checksFencingNumbers() {
        return checksFencingNumbers;
    }

    /** Returns the name of the engine. */
    public String name() {
        return name;
    }

    /** Returns the current role. */
    public EngineRole role() {
        return role;
    }

    /** Returns all orders that arrived, oldest first. */
    public List<OrderArrival> arrivals() {
        return List.copyOf(arrivals);
    }

    /** Returns the orders that the engine started to execute, oldest first. */
    public List<FencedOrder> startedOrders() {
        return arrivals.stream()
                .filter(OrderArrival::started)
                .map(OrderArrival::order)
                .toList();
    }

    /** Returns the number of running streams. */
    public int runningStreams() {
        return runningStreams;
    }

    /** Sets the number of running streams. */
    public void setRunningStreams(int streams) {
        runningStreams = streams;
    }

    /** Returns whether an order is being executed. */
    public boolean isBusy() {
        return lastState == OrderState.RUNNING;
    }

    /** Finishes the order that is being executed, if any. */
    public void finishOrder() {
        if (!isBusy()) {
            return;
        }
        switch (lastOrder.orElseThrow().order()) {
            case EngineOrder.ChangeRole change -> role = change.role();
            case EngineOrder.LoadModel load -> loaded.add(load.model() + "@" + load.version());
            case EngineOrder.LoadAdapter load -> loaded.add(load.model() + ":" + load.adapter() + "@" + load.version());
            case EngineOrder.UnloadAdapter unload ->
                loaded.removeIf(label -> label.startsWith(unload.model() + ":" + unload.adapter() + "@"));
        }
        lastState = OrderState.DONE;
    }

    /** Aborts the order that is being executed, if any; the state of the engine does not change. */
    public void failOrder() {
        if (isBusy()) {
            lastState = OrderState.FAILED;
        }
    }

    /** Crashes and restarts the engine, which loses its last order but keeps the highest fencing number. */
    public void crash() {
        startCount++;
        runningStreams = 0;
        loaded.clear();
        lastOrder = Optional.empty();
        lastState = OrderState.NEVER_SEEN;
    }

    /** Delivers the oldest order in transit; returns false if there is none. */
    public boolean deliverDelayed() {
        if (inTransit.isEmpty()) {
            return false;
        }
        receive(inTransit.removeFirst());
        return true;
    }

    /** Returns the orders in transit, oldest first. */
    public List<FencedOrder> inTransit() {
        return List.copyOf(inTransit);
    }

    /** Delivers the given order if it is in transit. */
    public void deliverDelayed(FencedOrder order) {
        if (inTransit.remove(order)) {
            receive(order);
        }
    }

    void addInTransit(FencedOrder order) {
        inTransit.add(order);
    }

    EngineStatus status() {
        EngineLoad load = new EngineLoad(1, 0, runningStreams, CACHE_PIECES, CACHE_PIECES, CACHE_PIECES);
        return new EngineStatus(
                name + "#" + startCount,
                role,
                !isBusy(),
                lastOrder.map(FencedOrder::orderId),
                lastState,
                checksFencingNumbers ? highestFencingNumber : 0,
                loaded,
                load);
    }

    void order(FencedOrder order) throws EngineRefusedOrderException {
        if (!receive(order)) {
            throw new EngineRefusedOrderException("The engine refused the order.", name, "Query its status.");
        }
    }

    private boolean receive(FencedOrder order) {
        boolean repeated = lastOrder.map(FencedOrder::orderId).equals(Optional.of(order.orderId()));
        if (repeated) {
            return true;
        }
        boolean refused = checksFencingNumbers && (order.fencingNumber() < highestFencingNumber || isBusy());
        OrderArrival arrival = new OrderArrival(name, order, !refused, isBusy(), runningStreams);
        arrivals.add(arrival);
        listeners.forEach(listener -> listener.accept(arrival));
        highestFencingNumber = Math.max(highestFencingNumber, order.fencingNumber());
        if (refused) {
            return false;
        }
        lastOrder = Optional.of(order);
        lastState = OrderState.RUNNING;
        return true;
    }
}
