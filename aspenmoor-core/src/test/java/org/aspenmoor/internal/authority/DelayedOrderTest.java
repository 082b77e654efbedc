package org.aspenmoor.internal.authority;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.fake.EngineFault;
import org.aspenmoor.internal.fake.FakeEngine;
import org.aspenmoor.internal.fake.OrderArrival;
import org.aspenmoor.internal.store.StoreException;
import org.testng.annotations.Test;

/** Orders that arrive after the order lease of their agent has ended. */
public class DelayedOrderTest {
    // An agent is killed just after sending an order. The order is delayed beyond every timeout, and the successor has
    // abandoned it. An engine that checks numbers must have received a higher number by then.
    @Test
    public void should_refuse_abandoned_order_when_engine_checks_numbers() throws StoreException {
        EngineFixture fixture = new EngineFixture(new FakeEngine("engine-1", true));
        OrderExecutor successor = abandonOrderOfFirstAgent(fixture);
        fixture.publish(EngineRole.WHOLE);
        successor.offer(fixture.planObject());
        assertTrue(successor.step() instanceof ExecutorStep.Ordered);
        fixture.engine().finishOrder();
        successor.step();

        fixture.engine().deliverDelayed();

        assertFalse(lastArrival(fixture).started());
        assertEquals(fixture.engine().role(), EngineRole.WHOLE);
    }

    // The same with an engine that ignores numbers. An order delayed beyond the maximum transit time is the remaining
    // gap: the engine accepts it. It is not executing another order at that time, and the next step detects the wrong
    // role and corrects it.
    @Test
    public void should_correct_role_when_engine_ignoring_numbers_executed_abandoned_order() throws StoreException {
        EngineFixture fixture = new EngineFixture(new FakeEngine("engine-1", false));
        OrderExecutor successor = abandonOrderOfFirstAgent(fixture);
        fixture.publish(EngineRole.WHOLE);
        successor.offer(fixture.planObject());
        assertEquals(successor.step(), new ExecutorStep.Idle());

        fixture.engine().deliverDelayed();
        assertTrue(lastArrival(fixture).started());
        fixture.engine().finishOrder();

        assertTrue(successor.step() instanceof ExecutorStep.Ordered);
        fixture.engine().finishOrder();
        assertEquals(fixture.engine().role(), EngineRole.WHOLE);
    }

    // The agent is paused while its record is written, for so long that a successor may have abandoned the order. When
    // it resumes it must not send the order.
    @Test
    public void should_not_send_order_when_pause_exceeds_send_window() throws StoreException {
        EngineFixture fixture = new EngineFixture(new FakeEngine("engine-1", false));
        fixture.publish(EngineRole.PREFILL);
        fixture.storeFaults().afterNextEffect(() -> fixture.time().advance(SlotTimings.DEFAULT.sendWindow()));

        assertTrue(fixture.agent().step() instanceof ExecutorStep.Resolved);

        assertEquals(fixture.recordedState(), RecordedOrderState.WITHDRAWN);
        assertTrue(fixture.engine().arrivals().isEmpty());
    }

    // The longest pause after which the agent may still send, plus the maximum transit time, ends before a successor
    // abandons the order, so that the orders of both never reach the engine at the same time.
    @Test
    public void should_not_abandon_order_when_it_may_still_arrive() throws StoreException {
        EngineFixture fixture = new EngineFixture(new FakeEngine("engine-1", false));
        fixture.publish(EngineRole.PREFILL);
        OrderExecutor successor = fixture.newAgentWithoutPlan("agent-2");
        fixture.storeFaults().afterNextEffect(() -> {
            successor.step();
            fixture.time().advance(SlotTimings.DEFAULT.sendWindow().minusMillis(1));
        });
        fixture.engineFaults().addOrderFault(EngineFault.ARRIVES_LATE);
        fixture.agent().step();
        fixture.time().advance(SlotTimings.DEFAULT.maxTransitTime());

        assertTrue(successor.step() instanceof ExecutorStep.InTransit);
        fixture.engine().deliverDelayed();

        assertTrue(successor.step() instanceof ExecutorStep.Running);
        assertEquals(fixture.engine().startedOrders().size(), 1);
    }

    private static OrderExecutor abandonOrderOfFirstAgent(EngineFixture fixture) throws StoreException {
        fixture.publish(EngineRole.PREFILL);
        fixture.engineFaults().addOrderFault(EngineFault.ARRIVES_LATE);
        fixture.agent().step();
        OrderExecutor successor = fixture.newAgent("agent-2");
        assertTrue(successor.step() instanceof ExecutorStep.InTransit);
        fixture.time()
                .advance(SlotTimings.DEFAULT
                        .orderLeaseDuration()
                        .minus(SlotTimings.DEFAULT.takeoverDelay())
                        .minus(Duration.ofMillis(1)));
        assertTrue(successor.step() instanceof ExecutorStep.InTransit);
        fixture.time().advance(Duration.ofMillis(1));
        assertTrue(successor.step() instanceof ExecutorStep.Resolved);
        assertEquals(fixture.recordedState(), RecordedOrderState.ABANDONED);
        return successor;
    }

    private static OrderArrival lastArrival(EngineFixture fixture) {
        return fixture.engine().arrivals().getLast();
    }
}
