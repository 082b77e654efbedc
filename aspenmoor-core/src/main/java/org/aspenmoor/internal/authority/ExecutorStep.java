package org.aspenmoor.internal.authority;

import java.time.Duration;
import org.aspenmoor.internal.engine.EngineUnreachableException;
import org.aspenmoor.internal.engine.FencedOrder;
import org.aspenmoor.internal.store.StoreException;

/** The result of one step of an {@link OrderExecutor}. */
public sealed interface ExecutorStep {
    /** The engine is in the planned state, or the plan does not contain it. */
    record Idle() implements ExecutorStep {}

    /**
     * This agent has taken the engine over.
     *
     * @param slotTerm the new slot term of the engine
     */
    record TookOver(long slotTerm) implements ExecutorStep {}

    /** Another agent has taken the engine over; this agent gives no further orders, and its process should stop. */
    record Replaced() implements ExecutorStep {}

    /**
     * An order is due and waits until the running streams have ended.
     *
     * @param running the number of streams that still run
     */
    record Draining(int running) implements ExecutorStep {}

    /**
     * The executor has to wait before it can act.
     *
     * @param reason what it waits for
     */
    record Waiting(String reason) implements ExecutorStep {}

    /**
     * An order was recorded and sent to the engine.
     *
     * @param order the order as sent
     */
    record Ordered(FencedOrder order) implements ExecutorStep {}

    /**
     * The engine is executing the recorded order.
     *
     * @param orderId the ID of the order
     */
    record Running(String orderId) implements ExecutorStep {}

    /**
     * The recorded order may still be in transit to the engine.
     *
     * @param orderId the ID of the order
     * @param remaining the time for which it may still arrive
     */
    record InTransit(String orderId, Duration remaining) implements ExecutorStep {}

    /**
     * The outcome of the recorded order was determined and recorded.
     *
     * @param orderId the ID of the order
     * @param state the final state of the order
     */
    record Resolved(String orderId, RecordedOrderState state) implements ExecutorStep {}

    /**
     * The plan known here is older than the plan that caused the last order, so it is not executed.
     *
     * @param known the version of the plan known here
     */
    record PlanOutdated(PlanVersion known) implements ExecutorStep {}

    /**
     * A store call failed; no order was sent in this step.
     *
     * @param cause the failure
     */
    record StoreFailed(StoreException cause) implements ExecutorStep {}

    /**
     * The engine did not respond; the outcome of an order sent in this step is unknown.
     *
     * @param cause the failure
     */
    record EngineUnreachable(EngineUnreachableException cause) implements ExecutorStep {}
}
