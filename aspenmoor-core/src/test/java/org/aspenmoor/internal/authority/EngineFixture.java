package org.aspenmoor.internal.authority;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.engine.EngineStatus;
import org.aspenmoor.internal.engine.EngineUnreachableException;
import org.aspenmoor.internal.fake.EngineCallFaults;
import org.aspenmoor.internal.fake.FakeEngine;
import org.aspenmoor.internal.fake.FakeStore;
import org.aspenmoor.internal.fake.ScriptedEngineFaults;
import org.aspenmoor.internal.fake.ScriptedStoreFaults;
import org.aspenmoor.internal.fake.StoreCallFaults;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.time.ManualTimeSource;

/** A test fixture with one engine, its first agent, and a planner. */
final class EngineFixture {
    private static final ObjectKey PLAN = new ObjectKey(ObjectKind.ROLE_PLAN, "seitkali", "drafting.almaty-1");
    private static final ObjectKey RECORD =
            new ObjectKey(ObjectKind.ENGINE_RECORD, ObjectKey.PLATFORM_NAMESPACE, "engine-1");

    private final ManualTimeSource time = new ManualTimeSource();
    private final FakeStore store = new FakeStore();
    private final ScriptedStoreFaults storeFaults = new ScriptedStoreFaults();
    private final ScriptedEngineFaults engineFaults = new ScriptedEngineFaults();
    private final FakeEngine engine;
    private final EngineDrain drain;
    private final OrderExecutor agent;

    private final PlanHolder planner;
    private int agentCount;

    EngineFixture(FakeEngine engine) throws StoreException {
        this.engine = engine;
        this.drain = new EngineDrain(engine);
        this.planner = new PlanHolder(
                store.client(StoreCallFaults.NONE), PLAN, "entry-1", LeaseTimings.DEFAULT, time, new Random(7));
        planner.maintainLease();
        this.agent = agent("agent-1", storeFaults, engineFaults);
        agent.step();
    }

    ManualTimeSource time() {
        return time;
    }

    FakeStore store() {
        return store;
    }

    ScriptedStoreFaults storeFaults() {
        return storeFaults;
    }

    ScriptedEngineFaults engineFaults() {
        return engineFaults;
    }

    FakeEngine engine() {
        return engine;
    }

    EngineDrain drain() {
        return drain;
    }

    OrderExecutor agent() {
        return agent;
    }

    /** Publishes a plan and offers it to the first agent. */
    void publish(EngineRole role) throws StoreException {
        publishWithoutOffer(role);
        agent.offer(planObject());
    }

    void publishWithoutOffer(EngineRole role) throws StoreException {
        publish(EngineAssignment.ofRole(role));
    }

    void publishWithLoads(EngineRole role) throws StoreException {
        publish(new EngineAssignment(
                role,
                List.of(
                        new LoadItem("drafter", Optional.empty(), "3"),
                        new LoadItem("drafter", Optional.of("theatre"), "1"))));
        agent.offer(planObject());
    }

    StoredObject planObject() {
        return store.peek(PLAN).orElseThrow();
    }

    /** Starts another agent, which takes the engine over and is offered the plan. */
    OrderExecutor newAgent(String owner) throws StoreException {
        return newAgent(owner, StoreCallFaults.NONE);
    }

    OrderExecutor newAgent(String owner, StoreCallFaults agentStoreFaults) throws StoreException {
        OrderExecutor executor = agent(owner, agentStoreFaults, EngineCallFaults.NONE);
        executor.step();
        time.advance(SlotTimings.DEFAULT.takeoverDelay());
        if (store.peek(PLAN).isPresent()) {
            executor.offer(planObject());
        }
        return executor;
    }

    OrderExecutor newAgentWithoutPlan(String owner) {
        return agent(owner, StoreCallFaults.NONE, EngineCallFaults.NONE);
    }

    void run(int steps) {
        for (int step = 0; step < steps; step++) {
            agent.step();
        }
    }

    RecordedOrderState recordedState() throws StoreException {
        return EngineRecordCodec.read(store.peek(RECORD).orElseThrow())
                .lastOrder()
                .orElseThrow()
                .state();
    }

    EngineStatus status() {
        try {
            return engine.control(EngineCallFaults.NONE).status();
        } catch (EngineUnreachableException unexpected) {
            throw new AssertionError(unexpected);
        }
    }

    private void publish(EngineAssignment assignment) throws StoreException {
        planner.maintainLease();
        planner.publish(Map.of("engine-1", assignment));
    }

    private OrderExecutor agent(String owner, StoreCallFaults agentStoreFaults, EngineCallFaults callFaults) {
        agentCount++;
        SlotIdentity slot = new SlotIdentity("engine-1", owner, RECORD, PLAN, engine.checksFencingNumbers());
        return new OrderExecutor(
                slot,
                store.client(agentStoreFaults),
                engine.control(callFaults),
                drain,
                SlotTimings.DEFAULT,
                time,
                new Random(agentCount));
    }

    /** A drain that reports the running streams of the engine. */
    static final class EngineDrain implements StreamDrain {
        private final FakeEngine engine;
        private boolean draining;

        EngineDrain(FakeEngine engine) {
            this.engine = engine;
        }

        boolean draining() {
            return draining;
        }

        @Override
        public void beginDrain() {
            draining = true;
        }

        @Override
        public void endDrain() {
            draining = false;
        }

        @Override
        public int running() {
            return engine.runningStreams();
        }
    }
}
