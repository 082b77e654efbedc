package org.aspenmoor.internal.authority;

import java.util.Optional;

/**
 * The stored record of one engine: the agent that may give it orders, and the last order.
 *
 * @param owner the incarnation of the agent that may give orders
 * @param slotTerm the number of changes of the owner
 * @param nonce a random value, new for each write, by which the writer recognises its own write
 * @param planVersion the version of the plan that caused the last order
 * @param lastOrder the last order; empty if there never was one
 * @param highestAbandoned the highest fencing number of an abandoned order; 0 if there is none
 */
public record EngineRecord(
        String owner,
        long slotTerm,
        String nonce,
        PlanVersion planVersion,
        Optional<RecordedOrder> lastOrder,
        long highestAbandoned) {
    /** The record of an engine that was never given an order. */
    public static final EngineRecord NONE = new EngineRecord("", 0, "", PlanVersion.NONE, Optional.empty(), 0);

    /** Returns the last order if its outcome is not known yet. */
    public Optional<RecordedOrder> unresolvedOrder() {
        return lastOrder.filter(order -> !order.state().isResolved());
    }

    /** Returns the fencing number of the last order; 0 if there is none. */
    public long lastFencingNumber() {
        return lastOrder.map(RecordedOrder::fencingNumber).orElse(0L);
    }

    /** Returns the record with a new owner and the next slot term; the last order is unchanged. */
    EngineRecord takenOver(String newOwner, String newNonce) {
        return new EngineRecord(newOwner, slotTerm + 1, newNonce, planVersion, lastOrder, highestAbandoned);
    }

    /** Returns the record with a new nonce, which its owner writes to confirm that it still owns the engine. */
    EngineRecord confirmed(String newNonce) {
        return new EngineRecord(owner, slotTerm, newNonce, planVersion, lastOrder, highestAbandoned);
    }

    /** Returns the record with the next order. */
    EngineRecord withNewOrder(String newNonce, PlanVersion plan, RecordedOrder order) {
        return new EngineRecord(owner, slotTerm, newNonce, plan, Optional.of(order), highestAbandoned);
    }

    /** Returns the record with the given final state of the last order. */
    EngineRecord withOrderState(String newNonce, RecordedOrderState state) {
        long abandoned = state == RecordedOrderState.ABANDONED ? lastFencingNumber() : highestAbandoned;
        Optional<RecordedOrder> updatedOrder = lastOrder.map(order -> order.withState(state));
        return new EngineRecord(owner, slotTerm, newNonce, planVersion, updatedOrder, abandoned);
    }
}
