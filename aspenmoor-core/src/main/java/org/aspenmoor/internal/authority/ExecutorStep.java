package org.aspenmoor.internal.authority;

import java.time.Duration;
import org.aspenmoor.internal.engine.EngineUnreachableException;
import org.aspenmoor.internal.engine.NumberedOrder;
import org.aspenmoor.internal.store.StoreException;

/** What an {@link OrderExecutor} did in one step. */
public sealed interface ExecutorStep {
    /** The engine is as the plan wants it, or no plan names it. */
    record Idle() implements ExecutorStep {}

    /**
     * The engine was taken over from an earlier agent.
     *
     * @param slotTerm counts the agents of this engine
     */
    record TookOver(long slotTerm) implements ExecutorStep {}

    /** Another agent has taken the engine over; this one gives no order ever again, and its process should stop. */
    record Replaced() implements ExecutorStep {}

    /**
     * An order is due and waits for streams.
     *
     * @param running how many still run
     */
    record Draining(int running) implements ExecutorStep {}

    /**
     * An order is due and waits, because the last one failed or the engine is not ready.
     *
     * @param reason what it waits for
     */
    record Waiting(String reason) implements ExecutorStep {}

    /**
     * An order was recorded and given.
     *
     * @param order as the engine was given it
     */
    record Ordered(NumberedOrder order) implements ExecutorStep {}

    /**
     * The engine carries out the recorded order.
     *
     * @param orderId the order
     */
    record Running(String orderId) implements ExecutorStep {}

    /**
     * The recorded order may still be on its way to the engine.
     *
     * @param orderId the order
     * @param remaining how long it may be
     */
    record Settling(String orderId, Duration remaining) implements ExecutorStep {}

    /**
     * The recorded order was settled.
     *
     * @param orderId the order
     * @param state what became of it
     */
    record Settled(String orderId, RecordedOrderState state) implements ExecutorStep {}

    /**
     * The plan known here is older than the one that the last order came from, so it is not obeyed.
     *
     * @param known the plan known here
     */
    record PlanBehind(PlanVersion known) implements ExecutorStep {}

    /**
     * The store did not do what was asked; no order was given in this step.
     *
     * @param cause what it said
     */
    record StoreTrouble(StoreException cause) implements ExecutorStep {}

    /**
     * The engine did not answer; an order that was being given is unsettled.
     *
     * @param cause what happened
     */
    record EngineSilent(EngineUnreachableException cause) implements ExecutorStep {}
}
