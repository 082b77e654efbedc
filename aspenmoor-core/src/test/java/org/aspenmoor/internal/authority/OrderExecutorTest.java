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
    private EngineFixture fixture;

    @BeforeMethod
    public void setUp() throws StoreException {
        fixture = new EngineFixture(new FakeEngine("engine-1", false));
    }

    @DataProvider
    public Object[][] engineChecksFencingNumbers() {
        return new Object[][] {{true}, {false}};
    }

    @Test
    public void should_record_order_when_it_is_sent_and_when_it_finishes() throws StoreException {
        fixture.publish(EngineRole.PREFILL);

        assertTrue(fixture.agent().step() instanceof ExecutorStep.Ordered);
        assertEquals(fixture.recordedState(), RecordedOrderState.STARTED);
        assertTrue(fixture.agent().step() instanceof ExecutorStep.Running);
        fixture.engine().finishOrder();
        fixture.agent().step();

        assertEquals(fixture.recordedState(), RecordedOrderState.FINISHED);
        assertEquals(fixture.agent().step(), new ExecutorStep.Idle());
        assertEquals(fixture.engine().role(), EngineRole.PREFILL);
        assertTrue(fixture.agent().mayServe());
    }

    // A role change is due while streams are running. If it were ordered at once, it would cut them.
    @Test
    public void should_wait_with_order_when_streams_are_running() throws StoreException {
        fixture.engine().setRunningStreams(2);
        fixture.publish(EngineRole.PREFILL);

        assertEquals(fixture.agent().step(), new ExecutorStep.Draining(2));
        assertFalse(fixture.agent().mayServe());
        assertTrue(fixture.drain().draining());
        fixture.engine().setRunningStreams(0);
        assertTrue(fixture.agent().step() instanceof ExecutorStep.Ordered);
        fixture.engine().finishOrder();
        fixture.run(2);

        assertFalse(fixture.drain().draining());
    }

    @Test
    public void should_accept_work_again_when_plan_changes_back_during_drain() throws StoreException {
        fixture.engine().setRunningStreams(1);
        fixture.publish(EngineRole.PREFILL);
        fixture.agent().step();

        fixture.publish(EngineRole.WHOLE);

        assertEquals(fixture.agent().step(), new ExecutorStep.Idle());
        assertFalse(fixture.drain().draining());
        assertTrue(fixture.engine().arrivals().isEmpty());
    }

    // The agent is killed after sending an order, and the plan changes before its successor starts. The engine is still
    // executing the order; a second order would reach it during the first.
    @Test(dataProvider = "engineChecksFencingNumbers")
    public void should_resolve_predecessors_order_first_when_plan_has_changed(boolean checksFencingNumbers)
            throws StoreException {
        fixture = new EngineFixture(new FakeEngine("engine-1", checksFencingNumbers));
        fixture.publish(EngineRole.PREFILL);
        fixture.agent().step();
        fixture.publish(EngineRole.DECODE);
        OrderExecutor successor = fixture.newAgent("agent-2");

        assertTrue(successor.step() instanceof ExecutorStep.Running);
        assertFalse(successor.mayServe());
        fixture.engine().finishOrder();
        assertTrue(successor.step() instanceof ExecutorStep.Resolved);
        assertTrue(successor.step() instanceof ExecutorStep.Ordered);

        assertEquals(fixture.engine().startedOrders().size(), 2);
        assertTrue(fixture.engine().arrivals().stream().noneMatch(arrival -> arrival.engineBusy()));
    }

    // Two agents run for one engine, because the host returned before the old process was terminated. Both see the same
    // plan and both would order the change.
    @Test(dataProvider = "engineChecksFencingNumbers")
    public void should_let_only_the_later_agent_send_orders_when_two_agents_run(boolean checksFencingNumbers)
            throws StoreException {
        fixture = new EngineFixture(new FakeEngine("engine-1", checksFencingNumbers));
        fixture.publish(EngineRole.PREFILL);
        OrderExecutor successor = fixture.newAgent("agent-2");

        assertEquals(fixture.agent().step(), new ExecutorStep.Replaced());
        assertFalse(fixture.agent().mayServe());
        assertTrue(successor.step() instanceof ExecutorStep.Ordered);

        assertEquals(fixture.engine().startedOrders().size(), 1);
    }

    // The same, but the successor starts while the record write of the first agent is in transit.
    @Test(dataProvider = "engineChecksFencingNumbers")
    public void should_reject_record_write_when_engine_is_taken_over_during_its_transit(boolean checksFencingNumbers)
            throws StoreException {
        fixture = new EngineFixture(new FakeEngine("engine-1", checksFencingNumbers));
        fixture.publish(EngineRole.PREFILL);
        OrderExecutor successor = fixture.newAgentWithoutPlan("agent-2");
        successor.offer(fixture.planObject());
        fixture.storeFaults().beforeNextEffect(() -> {
            successor.step();
            fixture.time().advance(SlotTimings.DEFAULT.takeoverDelay());
            successor.step();
        });

        assertTrue(fixture.agent().step() instanceof ExecutorStep.StoreFailed);

        assertEquals(fixture.engine().startedOrders().size(), 1);
        assertEquals(fixture.agent().step(), new ExecutorStep.Replaced());
    }

    // The record of an order is written and the response is lost. If this were treated as a failure, the order would be
    // recorded and sent again.
    @Test
    public void should_send_order_once_when_response_to_record_write_is_lost() throws StoreException {
        fixture.publish(EngineRole.PREFILL);
        fixture.storeFaults().addWriteFault(StoreFault.ANSWER_LOST);

        assertTrue(fixture.agent().step() instanceof ExecutorStep.Ordered);
        fixture.run(3);

        assertEquals(fixture.engine().startedOrders().size(), 1);
    }

    // The record write is delayed and takes effect after the agent has given up on it. The order was never sent, and
    // the agent knows that; it must neither wait for the order nor count it as sent.
    @Test
    public void should_withdraw_order_when_its_record_write_was_delayed() throws StoreException {
        fixture.publish(EngineRole.PREFILL);
        fixture.storeFaults().addWriteFault(StoreFault.LANDS_LATE);
        assertTrue(fixture.agent().step() instanceof ExecutorStep.StoreFailed);
        fixture.store().deliverDelayed();

        fixture.agent().step();
        assertEquals(fixture.recordedState(), RecordedOrderState.WITHDRAWN);
        assertTrue(fixture.engine().arrivals().isEmpty());
        assertTrue(fixture.agent().step() instanceof ExecutorStep.Ordered);
    }

    // The engine crashes during a change and restarts without knowledge of the order. The record stays in state started
    // until no order can be in transit any more; then the change is ordered again.
    @Test(dataProvider = "engineChecksFencingNumbers")
    public void should_send_order_again_when_engine_crashed_during_execution(boolean checksFencingNumbers)
            throws StoreException {
        fixture = new EngineFixture(new FakeEngine("engine-1", checksFencingNumbers));
        fixture.publish(EngineRole.PREFILL);
        fixture.agent().step();
        fixture.engine().crash();

        assertTrue(fixture.agent().step() instanceof ExecutorStep.InTransit);
        fixture.time().advance(SlotTimings.DEFAULT.maxTransitTime());
        assertTrue(fixture.agent().step() instanceof ExecutorStep.Resolved);
        assertTrue(fixture.agent().step() instanceof ExecutorStep.Ordered);
        fixture.engine().finishOrder();

        assertEquals(fixture.engine().role(), EngineRole.PREFILL);
    }

    @Test
    public void should_wait_before_sending_order_again_when_it_failed() throws StoreException {
        fixture.publish(EngineRole.PREFILL);
        fixture.agent().step();
        fixture.engine().failOrder();

        fixture.agent().step();
        assertEquals(fixture.recordedState(), RecordedOrderState.FAILED);
        assertTrue(fixture.agent().step() instanceof ExecutorStep.Waiting);
        fixture.time().advance(SlotTimings.DEFAULT.delayAfterFailure());
        assertTrue(fixture.agent().step() instanceof ExecutorStep.Ordered);
    }

    // The call that sends an order times out while the order is in transit. Until the maximum transit time has passed
    // no other order may be sent, because an engine that ignores numbers would execute both.
    @Test
    public void should_send_no_other_order_when_one_may_still_arrive() throws StoreException {
        fixture.publish(EngineRole.PREFILL);
        fixture.engineFaults().addOrderFault(EngineFault.ARRIVES_LATE);
        assertTrue(fixture.agent().step() instanceof ExecutorStep.EngineUnreachable);
        fixture.publish(EngineRole.DECODE);
        fixture.time().advance(SlotTimings.DEFAULT.maxTransitTime().minusMillis(1));
        assertTrue(fixture.agent().step() instanceof ExecutorStep.InTransit);

        fixture.engine().deliverDelayed();

        assertTrue(fixture.agent().step() instanceof ExecutorStep.Running);
        assertEquals(fixture.engine().startedOrders().size(), 1);
    }

    // The watch lags, and the agent still has the plan of a replaced holder. It reads the plan again before it sends an
    // order, so the replaced plan has no effect.
    @Test
    public void should_not_execute_plan_when_it_has_been_replaced() throws StoreException {
        fixture.publish(EngineRole.PREFILL);
        fixture.publishWithoutOffer(EngineRole.WHOLE);

        assertTrue(fixture.agent().step() instanceof ExecutorStep.Waiting);
        assertEquals(fixture.agent().step(), new ExecutorStep.Idle());
        assertTrue(fixture.engine().arrivals().isEmpty());
    }

    // A restarted agent reads an old plan from an outdated replica, while the engine record refers to a newer one.
    @Test
    public void should_not_execute_plan_when_it_is_older_than_last_order() throws StoreException {
        fixture.publish(EngineRole.PREFILL);
        var oldPlan = fixture.planObject();
        fixture.publish(EngineRole.DECODE);
        fixture.agent().step();
        fixture.engine().finishOrder();
        fixture.agent().step();
        OrderExecutor restarted = fixture.newAgentWithoutPlan("agent-2");
        restarted.offer(oldPlan);
        restarted.step();

        assertTrue(restarted.step() instanceof ExecutorStep.PlanOutdated);
        assertEquals(fixture.engine().role(), EngineRole.DECODE);
    }

    // An outdated replica returns the record from before the takeover. If the agent trusted it, the only agent of the
    // engine would stop sending orders for ever.
    @Test
    public void should_not_assume_replacement_when_record_is_stale() throws StoreException {
        fixture.publish(EngineRole.PREFILL);
        OrderExecutor successor = fixture.newAgent("agent-2", fixture.storeFaults());
        fixture.storeFaults().addWriteFault(StoreFault.UNAVAILABLE);
        assertTrue(successor.step() instanceof ExecutorStep.StoreFailed);
        fixture.storeFaults().addReadFault(StoreFault.STALE_READ);

        assertTrue(successor.step() instanceof ExecutorStep.Waiting);
        assertTrue(successor.step() instanceof ExecutorStep.Ordered);
    }

    // An agent is paused with requests in its socket, and another agent is started for the engine and orders a change.
    // When the first resumes it would accept the requests just before the order arrives and cuts them.
    @Test
    public void should_accept_no_work_when_ownership_is_unconfirmed_after_pause() throws StoreException {
        fixture.agent().onPauseDetected();
        assertFalse(fixture.agent().mayServe());
        fixture.agent().step();
        assertTrue(fixture.agent().mayServe());

        fixture.newAgent("agent-2");
        fixture.agent().onPauseDetected();
        fixture.storeFaults().addReadFault(StoreFault.STALE_READ);
        fixture.run(3);

        assertFalse(fixture.agent().mayServe());
    }

    // The first agent was not paused but does not know that it was replaced, and still accepts streams. Its successor
    // waits until the first agent must have read the record.
    @Test
    public void should_wait_with_first_order_when_predecessor_may_not_have_detected_replacement()
            throws StoreException {
        fixture.publish(EngineRole.PREFILL);
        OrderExecutor successor = fixture.newAgentWithoutPlan("agent-2");
        successor.offer(fixture.planObject());
        successor.step();
        fixture.time().advance(SlotTimings.DEFAULT.confirmInterval());
        assertTrue(successor.step() instanceof ExecutorStep.Waiting);

        fixture.agent().step();

        assertFalse(fixture.agent().mayServe());
        fixture.time().advance(SlotTimings.DEFAULT.takeoverDelay());
        assertTrue(successor.step() instanceof ExecutorStep.Ordered);
    }

    // An order is delayed in transit and the plan changes back. An outdated replica returns the record from before the
    // order; the agent would assume that nothing is due and accept streams, and the order would cut them.
    @Test
    public void should_not_accept_streams_when_record_is_stale_and_order_is_in_transit() throws StoreException {
        fixture.publish(EngineRole.PREFILL);
        fixture.engineFaults().addOrderFault(EngineFault.ARRIVES_LATE);
        fixture.agent().step();
        fixture.publish(EngineRole.WHOLE);
        fixture.storeFaults().addReadFault(StoreFault.STALE_READ);

        assertTrue(fixture.agent().step() instanceof ExecutorStep.Waiting);
        assertFalse(fixture.agent().mayServe());
        assertTrue(fixture.agent().step() instanceof ExecutorStep.InTransit);
    }

    // The order that was to deliver a higher number after a delayed order is itself withdrawn, because its agent was
    // paused. The engine must still receive a higher number before it serves; otherwise the delayed order cuts streams
    // when it arrives.
    @Test
    public void should_still_send_higher_number_when_the_order_with_it_was_withdrawn() throws StoreException {
        fixture = new EngineFixture(new FakeEngine("engine-1", true));
        fixture.publish(EngineRole.PREFILL);
        fixture.engineFaults().addOrderFault(EngineFault.ARRIVES_LATE);
        fixture.agent().step();
        fixture.publish(EngineRole.WHOLE);
        fixture.time().advance(SlotTimings.DEFAULT.maxTransitTime());
        fixture.agent().step();
        assertEquals(fixture.recordedState(), RecordedOrderState.ABANDONED);
        fixture.storeFaults().afterNextEffect(() -> fixture.time().advance(SlotTimings.DEFAULT.sendWindow()));
        fixture.agent().step();
        assertEquals(fixture.recordedState(), RecordedOrderState.WITHDRAWN);

        assertTrue(fixture.agent().step() instanceof ExecutorStep.Ordered);
        fixture.engine().finishOrder();
        fixture.run(2);
        fixture.engine().deliverDelayed();

        assertFalse(fixture.engine().arrivals().getLast().started());
    }

    // The store becomes unavailable while an engine drains for a change. The change cannot be recorded, and an engine
    // that stayed drained would be idle for the duration of the outage.
    @Test
    public void should_accept_work_again_when_store_becomes_unavailable_during_drain() throws StoreException {
        fixture.engine().setRunningStreams(1);
        fixture.publish(EngineRole.PREFILL);
        fixture.agent().step();
        assertFalse(fixture.agent().mayServe());
        fixture.engine().setRunningStreams(0);
        fixture.storeFaults().addReadFault(StoreFault.UNAVAILABLE);

        assertTrue(fixture.agent().step() instanceof ExecutorStep.StoreFailed);

        assertTrue(fixture.agent().mayServe());
        assertFalse(fixture.drain().draining());
    }

    // During a store outage no order is sent, because it cannot be recorded; engines continue to serve.
    @Test
    public void should_send_no_order_when_store_is_unavailable() throws StoreException {
        fixture.publish(EngineRole.PREFILL);
        for (int call = 0; call < 6; call++) {
            fixture.storeFaults().addReadFault(StoreFault.UNAVAILABLE);
            assertTrue(fixture.agent().step() instanceof ExecutorStep.StoreFailed);
        }
        assertTrue(fixture.engine().arrivals().isEmpty());
    }

    @Test
    public void should_load_items_one_after_another_when_plan_contains_several() throws StoreException {
        fixture.publishWithLoads(EngineRole.WHOLE);
        for (int order = 0; order < 2; order++) {
            assertTrue(fixture.agent().step() instanceof ExecutorStep.Ordered);
            fixture.engine().finishOrder();
            fixture.agent().step();
        }

        assertEquals(fixture.agent().step(), new ExecutorStep.Idle());
        assertEquals(fixture.status().loaded().size(), 2);
        assertEquals(fixture.status().lastOrderState(), OrderState.DONE);
    }

    @Test
    public void should_increase_fencing_number_within_term_when_next_order_is_sent() throws StoreException {
        fixture.publish(EngineRole.PREFILL);
        fixture.agent().step();
        fixture.engine().finishOrder();
        fixture.publish(EngineRole.DECODE);
        fixture.run(2);

        long firstNumber = fixture.engine().startedOrders().get(0).fencingNumber();
        assertEquals(firstNumber >> 24, 1);
        assertEquals(fixture.engine().startedOrders().get(1).fencingNumber(), firstNumber + 1);
    }

    @Test
    public void should_derive_transit_time_and_send_window_when_timings_are_default() {
        assertEquals(SlotTimings.DEFAULT.maxTransitTime(), Duration.ofSeconds(15));
        assertEquals(SlotTimings.DEFAULT.sendWindow(), Duration.ofSeconds(30));
    }
}
