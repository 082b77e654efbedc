package org.aspenmoor.internal.authority;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.engine.OrderState;
import org.aspenmoor.internal.fake.EngineFault;
import org.aspenmoor.internal.fake.FakeEngine;
import org.aspenmoor.internal.fake.StoreFault;
import org.aspenmoor.internal.store.StoreException;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class OrderExecutorTest {
    private OneEngine world;

    @BeforeMethod
    public void setUp() throws StoreException {
        world = new OneEngine(new FakeEngine("engine-1", false));
    }

    @DataProvider
    public Object[][] bothKindsOfEngine() {
        return new Object[][] {{true}, {false}};
    }

    @Test
    public void should_record_an_order_before_and_after_it() throws StoreException {
        world.publish(EngineRole.PREFILL);

        assertTrue(world.agent().step() instanceof ExecutorStep.Ordered);
        assertEquals(world.recordedState(), RecordedOrderState.STARTED);
        assertTrue(world.agent().step() instanceof ExecutorStep.Running);
        world.engine().finishOrder();
        world.agent().step();

        assertEquals(world.recordedState(), RecordedOrderState.FINISHED);
        assertEquals(world.agent().step(), new ExecutorStep.Idle());
        assertEquals(world.engine().role(), EngineRole.PREFILL);
        assertTrue(world.agent().mayServe());
    }

    // A role change is due while streams are running. If it were ordered at once, it would cut them.
    @Test
    public void should_wait_until_the_streams_have_ended() throws StoreException {
        world.engine().setRunningStreams(2);
        world.publish(EngineRole.PREFILL);

        assertEquals(world.agent().step(), new ExecutorStep.Draining(2));
        assertFalse(world.agent().mayServe());
        assertTrue(world.drain().draining());
        world.engine().setRunningStreams(0);
        assertTrue(world.agent().step() instanceof ExecutorStep.Ordered);
        world.engine().finishOrder();
        world.run(2);

        assertFalse(world.drain().draining());
    }

    @Test
    public void should_take_work_again_when_the_plan_changes_back_during_the_drain() throws StoreException {
        world.engine().setRunningStreams(1);
        world.publish(EngineRole.PREFILL);
        world.agent().step();

        world.publish(EngineRole.WHOLE);

        assertEquals(world.agent().step(), new ExecutorStep.Idle());
        assertFalse(world.drain().draining());
        assertTrue(world.engine().arrivals().isEmpty());
    }

    // The agent is killed after sending an order, and the plan changes before its successor starts. The engine is still
    // executing the order; a second order would reach it during the first.
    @Test(dataProvider = "bothKindsOfEngine")
    public void should_settle_its_predecessors_order_before_any_other(boolean checks) throws StoreException {
        world = new OneEngine(new FakeEngine("engine-1", checks));
        world.publish(EngineRole.PREFILL);
        world.agent().step();
        world.publish(EngineRole.DECODE);
        OrderExecutor successor = world.newAgent("agent-2");

        assertTrue(successor.step() instanceof ExecutorStep.Running);
        assertFalse(successor.mayServe());
        world.engine().finishOrder();
        assertTrue(successor.step() instanceof ExecutorStep.Resolved);
        assertTrue(successor.step() instanceof ExecutorStep.Ordered);

        assertEquals(world.engine().startedOrders().size(), 2);
        assertTrue(world.engine().arrivals().stream().noneMatch(arrival -> arrival.engineBusy()));
    }

    // Two agents run for one engine, because the host returned before the old process was terminated. Both see the same
    // plan and both would order the change.
    @Test(dataProvider = "bothKindsOfEngine")
    public void should_let_only_the_later_of_two_agents_order(boolean checks) throws StoreException {
        world = new OneEngine(new FakeEngine("engine-1", checks));
        world.publish(EngineRole.PREFILL);
        OrderExecutor successor = world.newAgent("agent-2");

        assertEquals(world.agent().step(), new ExecutorStep.Replaced());
        assertFalse(world.agent().mayServe());
        assertTrue(successor.step() instanceof ExecutorStep.Ordered);

        assertEquals(world.engine().startedOrders().size(), 1);
    }

    // The same, but the successor starts while the record write of the first agent is in transit.
    @Test(dataProvider = "bothKindsOfEngine")
    public void should_refuse_a_record_that_was_on_its_way_at_a_takeover(boolean checks) throws StoreException {
        world = new OneEngine(new FakeEngine("engine-1", checks));
        world.publish(EngineRole.PREFILL);
        OrderExecutor successor = world.newAgentWithoutPlan("agent-2");
        successor.offer(world.planObject());
        world.faults().beforeNextEffect(() -> {
            successor.step();
            world.time().advance(SlotTimings.DEFAULT.takeoverDelay());
            successor.step();
        });

        assertTrue(world.agent().step() instanceof ExecutorStep.StoreFailed);

        assertEquals(world.engine().startedOrders().size(), 1);
        assertEquals(world.agent().step(), new ExecutorStep.Replaced());
    }

    // The record of an order is written and the response is lost. If this were treated as a failure, the order would be
    // recorded and sent again.
    @Test
    public void should_order_once_when_the_answer_to_the_record_is_lost() throws StoreException {
        world.publish(EngineRole.PREFILL);
        world.faults().nextWrite(StoreFault.ANSWER_LOST);

        assertTrue(world.agent().step() instanceof ExecutorStep.Ordered);
        world.run(3);

        assertEquals(world.engine().startedOrders().size(), 1);
    }

    // The record write is delayed and takes effect after the agent has given up on it. The order was never sent, and
    // the
    // agent knows that; it must neither wait for the order nor count it as sent.
    @Test
    public void should_withdraw_an_order_whose_record_landed_late() throws StoreException {
        world.publish(EngineRole.PREFILL);
        world.faults().nextWrite(StoreFault.LANDS_LATE);
        assertTrue(world.agent().step() instanceof ExecutorStep.StoreFailed);
        world.store().deliverDelayed();

        world.agent().step();
        assertEquals(world.recordedState(), RecordedOrderState.WITHDRAWN);
        assertTrue(world.engine().arrivals().isEmpty());
        assertTrue(world.agent().step() instanceof ExecutorStep.Ordered);
    }

    // The engine crashes during a change and restarts without knowledge of the order. The record stays in state started
    // until no order can be in transit any more; then the change is ordered again.
    @Test(dataProvider = "bothKindsOfEngine")
    public void should_order_again_after_the_engine_crashed_halfway(boolean checks) throws StoreException {
        world = new OneEngine(new FakeEngine("engine-1", checks));
        world.publish(EngineRole.PREFILL);
        world.agent().step();
        world.engine().crash();

        assertTrue(world.agent().step() instanceof ExecutorStep.InTransit);
        world.time().advance(SlotTimings.DEFAULT.maxTransitTime());
        assertTrue(world.agent().step() instanceof ExecutorStep.Resolved);
        assertTrue(world.agent().step() instanceof ExecutorStep.Ordered);
        world.engine().finishOrder();

        assertEquals(world.engine().role(), EngineRole.PREFILL);
    }

    @Test
    public void should_pause_before_it_repeats_an_order_that_failed() throws StoreException {
        world.publish(EngineRole.PREFILL);
        world.agent().step();
        world.engine().failOrder();

        world.agent().step();
        assertEquals(world.recordedState(), RecordedOrderState.FAILED);
        assertTrue(world.agent().step() instanceof ExecutorStep.Waiting);
        world.time().advance(SlotTimings.DEFAULT.delayAfterFailure());
        assertTrue(world.agent().step() instanceof ExecutorStep.Ordered);
    }

    // The call that sends an order times out while the order is in transit. Until the maximum transit time has passed
    // no
    // other order may be sent, because an engine that ignores numbers would execute both.
    @Test
    public void should_give_no_other_order_while_one_may_still_arrive() throws StoreException {
        world.publish(EngineRole.PREFILL);
        world.engineFaults().nextOrder(EngineFault.ARRIVES_LATE);
        assertTrue(world.agent().step() instanceof ExecutorStep.EngineUnreachable);
        world.publish(EngineRole.DECODE);
        world.time().advance(SlotTimings.DEFAULT.maxTransitTime().minusMillis(1));
        assertTrue(world.agent().step() instanceof ExecutorStep.InTransit);

        world.engine().deliverDelayed();

        assertTrue(world.agent().step() instanceof ExecutorStep.Running);
        assertEquals(world.engine().startedOrders().size(), 1);
    }

    // The watch lags, and the agent still has the plan of a replaced holder. It reads the plan again before it sends an
    // order, so the replaced plan has no effect.
    @Test
    public void should_not_obey_a_plan_that_has_been_replaced() throws StoreException {
        world.publish(EngineRole.PREFILL);
        world.publishUnseen(EngineRole.WHOLE);

        assertTrue(world.agent().step() instanceof ExecutorStep.Waiting);
        assertEquals(world.agent().step(), new ExecutorStep.Idle());
        assertTrue(world.engine().arrivals().isEmpty());
    }

    // A restarted agent reads an old plan from an outdated replica, while the engine record refers to a newer one.
    @Test
    public void should_not_obey_a_plan_older_than_the_last_order() throws StoreException {
        world.publish(EngineRole.PREFILL);
        var oldPlan = world.planObject();
        world.publish(EngineRole.DECODE);
        world.agent().step();
        world.engine().finishOrder();
        world.agent().step();
        OrderExecutor restarted = world.newAgentWithoutPlan("agent-2");
        restarted.offer(oldPlan);
        restarted.step();

        assertTrue(restarted.step() instanceof ExecutorStep.PlanOutdated);
        assertEquals(world.engine().role(), EngineRole.DECODE);
    }

    // An outdated replica returns the record from before the takeover. If the agent trusted it, the only agent of the
    // engine would stop sending orders for ever.
    @Test
    public void should_not_take_an_old_record_for_a_successors() throws StoreException {
        world.publish(EngineRole.PREFILL);
        OrderExecutor successor = world.newAgent("agent-2", world.faults());
        world.faults().nextWrite(StoreFault.UNAVAILABLE);
        assertTrue(successor.step() instanceof ExecutorStep.StoreFailed);
        world.faults().nextRead(StoreFault.STALE_READ);

        assertTrue(successor.step() instanceof ExecutorStep.Waiting);
        assertTrue(successor.step() instanceof ExecutorStep.Ordered);
    }

    // An agent is paused with requests in its socket, and another agent is started for the engine and orders a change.
    // When the first resumes it would accept the requests just before the order arrives and cuts them.
    @Test
    public void should_let_nothing_in_on_waking_up_until_it_has_proved_that_it_was_not_replaced()
            throws StoreException {
        world.agent().onPauseDetected();
        assertFalse(world.agent().mayServe());
        world.agent().step();
        assertTrue(world.agent().mayServe());

        world.newAgent("agent-2");
        world.agent().onPauseDetected();
        world.faults().nextRead(StoreFault.STALE_READ);
        world.run(3);

        assertFalse(world.agent().mayServe());
    }

    // The first agent was not paused but does not know that it was replaced, and still accepts streams. Its successor
    // waits until the first agent must have read the record.
    @Test
    public void should_wait_until_its_predecessor_has_noticed() throws StoreException {
        world.publish(EngineRole.PREFILL);
        OrderExecutor successor = world.newAgentWithoutPlan("agent-2");
        successor.offer(world.planObject());
        successor.step();
        world.time().advance(SlotTimings.DEFAULT.confirmInterval());
        assertTrue(successor.step() instanceof ExecutorStep.Waiting);

        world.agent().step();

        assertFalse(world.agent().mayServe());
        world.time().advance(SlotTimings.DEFAULT.takeoverDelay());
        assertTrue(successor.step() instanceof ExecutorStep.Ordered);
    }

    // An order is delayed in transit and the plan changes back. An outdated replica returns the record from before the
    // order; the agent would assume that nothing is due and accept streams, and the order would cut them.
    @Test
    public void should_not_let_streams_in_by_an_old_record_while_an_order_is_on_its_way() throws StoreException {
        world.publish(EngineRole.PREFILL);
        world.engineFaults().nextOrder(EngineFault.ARRIVES_LATE);
        world.agent().step();
        world.publish(EngineRole.WHOLE);
        world.faults().nextRead(StoreFault.STALE_READ);

        assertTrue(world.agent().step() instanceof ExecutorStep.Waiting);
        assertFalse(world.agent().mayServe());
        assertTrue(world.agent().step() instanceof ExecutorStep.InTransit);
    }

    // The order that was to deliver a higher number after a delayed order is itself withdrawn, because its agent was
    // paused. The engine must still receive a higher number before it serves; otherwise the delayed order cuts streams
    // when it arrives.
    @Test
    public void should_still_owe_the_higher_number_when_the_order_that_brings_it_is_withdrawn() throws StoreException {
        world = new OneEngine(new FakeEngine("engine-1", true));
        world.publish(EngineRole.PREFILL);
        world.engineFaults().nextOrder(EngineFault.ARRIVES_LATE);
        world.agent().step();
        world.publish(EngineRole.WHOLE);
        world.time().advance(SlotTimings.DEFAULT.maxTransitTime());
        world.agent().step();
        assertEquals(world.recordedState(), RecordedOrderState.ABANDONED);
        world.faults().afterNextEffect(() -> world.time().advance(SlotTimings.DEFAULT.sendWindow()));
        world.agent().step();
        assertEquals(world.recordedState(), RecordedOrderState.WITHDRAWN);

        assertTrue(world.agent().step() instanceof ExecutorStep.Ordered);
        world.engine().finishOrder();
        world.run(2);
        world.engine().deliverDelayed();

        assertFalse(world.engine().arrivals().getLast().started());
    }

    // The store becomes unavailable while an engine drains for a change. The change cannot be recorded, and an engine
    // that
    // stayed drained would be idle for the duration of the outage.
    @Test
    public void should_take_work_again_when_the_store_goes_out_during_a_drain() throws StoreException {
        world.engine().setRunningStreams(1);
        world.publish(EngineRole.PREFILL);
        world.agent().step();
        assertFalse(world.agent().mayServe());
        world.engine().setRunningStreams(0);
        world.faults().nextRead(StoreFault.UNAVAILABLE);

        assertTrue(world.agent().step() instanceof ExecutorStep.StoreFailed);

        assertTrue(world.agent().mayServe());
        assertFalse(world.drain().draining());
    }

    // During a store outage no order is sent, because it cannot be recorded; engines continue to serve.
    @Test
    public void should_order_nothing_while_the_store_is_out() throws StoreException {
        world.publish(EngineRole.PREFILL);
        for (int call = 0; call < 6; call++) {
            world.faults().nextRead(StoreFault.UNAVAILABLE);
            assertTrue(world.agent().step() instanceof ExecutorStep.StoreFailed);
        }
        assertTrue(world.engine().arrivals().isEmpty());
    }

    @Test
    public void should_load_what_the_plan_names_one_after_the_other() throws StoreException {
        world.publishWithLoads(EngineRole.WHOLE);
        for (int order = 0; order < 2; order++) {
            assertTrue(world.agent().step() instanceof ExecutorStep.Ordered);
            world.engine().finishOrder();
            world.agent().step();
        }

        assertEquals(world.agent().step(), new ExecutorStep.Idle());
        assertEquals(world.status().loaded().size(), 2);
        assertEquals(world.status().lastOrderState(), OrderState.DONE);
    }

    @Test
    public void should_give_each_order_a_higher_number_that_starts_with_the_term() throws StoreException {
        world.publish(EngineRole.PREFILL);
        world.agent().step();
        world.engine().finishOrder();
        world.publish(EngineRole.DECODE);
        world.run(2);

        long firstNumber = world.engine().startedOrders().get(0).fencingNumber();
        assertEquals(firstNumber >> 24, 1);
        assertEquals(world.engine().startedOrders().get(1).fencingNumber(), firstNumber + 1);
    }

    @Test
    public void should_keep_the_window_within_the_terms() {
        assertEquals(SlotTimings.DEFAULT.maxTransitTime(), Duration.ofSeconds(15));
        assertEquals(SlotTimings.DEFAULT.sendWindow(), Duration.ofSeconds(30));
    }
}
