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
public class LateOrderTest {
    // An agent is killed just after sending an order. The order is delayed beyond every timeout, and the successor has
    // abandoned it. An engine that checks numbers must have received a higher number by then.
    @Test
    public void should_have_a_checking_engine_refuse_an_order_that_was_given_up() throws StoreException {
        OneEngine world = new OneEngine(new FakeEngine("engine-1", true));
        OrderExecutor successor = abandonTheOrderOfTheFirstAgent(world);
        world.publish(EngineRole.WHOLE);
        successor.offer(world.planObject());
        assertTrue(successor.step() instanceof ExecutorStep.Ordered);
        world.engine().finishOrder();
        successor.step();

        world.engine().deliverDelayed();

        assertFalse(last(world).started());
        assertEquals(world.engine().role(), EngineRole.WHOLE);
    }

    // The same with an engine that ignores numbers. An order delayed beyond the maximum transit time is the remaining
    // gap: the engine accepts it. It is not executing another order at that time, and the next step detects the wrong
    // role and corrects it.
    @Test
    public void should_mend_what_an_order_beyond_the_window_did_to_an_engine_that_ignores_numbers()
            throws StoreException {
        OneEngine world = new OneEngine(new FakeEngine("engine-1", false));
        OrderExecutor successor = abandonTheOrderOfTheFirstAgent(world);
        world.publish(EngineRole.WHOLE);
        successor.offer(world.planObject());
        assertEquals(successor.step(), new ExecutorStep.Idle());

        world.engine().deliverDelayed();
        assertTrue(last(world).started());
        world.engine().finishOrder();

        assertTrue(successor.step() instanceof ExecutorStep.Ordered);
        world.engine().finishOrder();
        assertEquals(world.engine().role(), EngineRole.WHOLE);
    }

    // The agent is paused while its record is written, for so long that a successor may have abandoned the order. When
    // it
    // resumes it must not send the order.
    @Test
    public void should_not_send_an_order_after_a_pause_that_outlasts_its_right() throws StoreException {
        OneEngine world = new OneEngine(new FakeEngine("engine-1", false));
        world.publish(EngineRole.PREFILL);
        world.faults().afterNextEffect(() -> world.time().advance(SlotTimings.DEFAULT.sendWindow()));

        assertTrue(world.agent().step() instanceof ExecutorStep.Resolved);

        assertEquals(world.recordedState(), RecordedOrderState.WITHDRAWN);
        assertTrue(world.engine().arrivals().isEmpty());
    }

    // The longest pause after which the agent may still send, plus the maximum transit time, ends before a successor
    // abandons the order, so that the orders of both never reach the engine at the same time.
    @Test
    public void should_leave_no_gap_between_the_last_sending_and_the_first_giving_up() throws StoreException {
        OneEngine world = new OneEngine(new FakeEngine("engine-1", false));
        world.publish(EngineRole.PREFILL);
        OrderExecutor successor = world.newAgentWithoutPlan("agent-2");
        world.faults().afterNextEffect(() -> {
            successor.step();
            world.time().advance(SlotTimings.DEFAULT.sendWindow().minusMillis(1));
        });
        world.engineFaults().nextOrder(EngineFault.ARRIVES_LATE);
        world.agent().step();
        world.time().advance(SlotTimings.DEFAULT.maxTransitTime());

        assertTrue(successor.step() instanceof ExecutorStep.InTransit);
        world.engine().deliverDelayed();

        assertTrue(successor.step() instanceof ExecutorStep.Running);
        assertEquals(world.engine().startedOrders().size(), 1);
    }

    private static OrderExecutor abandonTheOrderOfTheFirstAgent(OneEngine world) throws StoreException {
        world.publish(EngineRole.PREFILL);
        world.engineFaults().nextOrder(EngineFault.ARRIVES_LATE);
        world.agent().step();
        OrderExecutor successor = world.newAgent("agent-2");
        assertTrue(successor.step() instanceof ExecutorStep.InTransit);
        world.time()
                .advance(SlotTimings.DEFAULT
                        .orderLeaseDuration()
                        .minus(SlotTimings.DEFAULT.takeoverDelay())
                        .minus(Duration.ofMillis(1)));
        assertTrue(successor.step() instanceof ExecutorStep.InTransit);
        world.time().advance(Duration.ofMillis(1));
        assertTrue(successor.step() instanceof ExecutorStep.Resolved);
        assertEquals(world.recordedState(), RecordedOrderState.ABANDONED);
        return successor;
    }

    private static OrderArrival last(OneEngine world) {
        return world.engine().arrivals().getLast();
    }
}
