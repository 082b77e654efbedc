package org.aspenmoor.internal.authority;

import java.util.Optional;

/**
 * What the store keeps of one engine: who may give it orders, and the last one.
 *
 * @param owner the agent's incarnation that may give orders
 * @param slotTerm counts the changes of owner
 * @param nonce drawn anew for each write, so that its writer recognises it
 * @param planVersion the plan that the last order came from
 * @param lastOrder the last order, if there ever was one
 */
public record EngineRecord(
        String owner, long slotTerm, String nonce, PlanVersion planVersion, Optional<RecordedOrder> lastOrder) {
    /** The record of an engine that was never given an order. */
    public static final EngineRecord NONE = new EngineRecord("", 0, "", PlanVersion.NONE, Optional.empty());

    /** Returns the last order while it is unsettled. */
    public Optional<RecordedOrder> unsettled() {
        return lastOrder.filter(order -> !order.state().settled());
    }

    /** Returns the fencing number of the last order; 0 where there was none. */
    public long lastFencingNumber() {
        return lastOrder.map(RecordedOrder::fencingNumber).orElse(0L);
    }

    /** Returns the record as another agent takes the engine over; the last order stays as it is. */
    EngineRecord takenOver(String newOwner, String newNonce) {
        return new EngineRecord(newOwner, slotTerm + 1, newNonce, planVersion, lastOrder);
    }

    /** Returns the record as its owner writes it to prove that it still is. */
    EngineRecord proven(String newNonce) {
        return new EngineRecord(owner, slotTerm, newNonce, planVersion, lastOrder);
    }

    /** Returns the record as its owner writes its next order into it. */
    EngineRecord started(String newNonce, PlanVersion plan, RecordedOrder order) {
        return new EngineRecord(owner, slotTerm, newNonce, plan, Optional.of(order));
    }

    /** Returns the record with its last order settled. */
    EngineRecord settled(String newNonce, RecordedOrderState state) {
        return new EngineRecord(owner, slotTerm, newNonce, planVersion, lastOrder.map(order -> order.in(state)));
    }
}
