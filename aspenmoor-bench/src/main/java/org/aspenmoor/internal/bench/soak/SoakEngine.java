package org.aspenmoor.internal.bench.soak;

import java.util.ArrayList;
import java.util.List;
import org.aspenmoor.internal.fake.FakeEngine;

/** One engine with the agents beside it: the current one, and replaced ones that are not gone yet. */
final class SoakEngine {
    private final SoakWorld world;
    private final SoakHouse house;
    private final FakeEngine engine;
    private final List<AgentProcess> replaced = new ArrayList<>();
    private AgentProcess current;
    private int agents;
    private boolean givesUpNext;

    SoakEngine(SoakWorld world, SoakHouse house, FakeEngine engine) {
        this.world = world;
        this.house = house;
        this.engine = engine;
        this.current = newAgent();
    }

    SoakHouse house() {
        return house;
    }

    FakeEngine engine() {
        return engine;
    }

    AgentProcess current() {
        return current;
    }

    /** Returns all agents that live. */
    List<AgentProcess> agents() {
        List<AgentProcess> all = new ArrayList<>(replaced);
        all.add(current);
        return all;
    }

    /** Starts another agent; the earlier one may still be there. */
    void replaceAgent() {
        replaced.add(current);
        current = newAgent();
    }

    /** Starts an agent where the current one has died, and forgets dead ones. */
    void tidy() {
        replaced.removeIf(AgentProcess::dead);
        if (current.dead()) {
            current = newAgent();
        }
        countStreams();
    }

    /** Lets the engine give up the next order that it carries out. */
    void giveUpNextOrder() {
        givesUpNext = true;
    }

    /** Ends the order that the engine carries out. */
    void endOrder() {
        if (givesUpNext) {
            givesUpNext = false;
            engine.failOrder();
            world.log().happened(FaultKind.ENGINE_GAVE_UP);
        } else {
            engine.finishOrder();
        }
    }

    /** Crashes the engine; its streams are gone. */
    void crash() {
        engine.crash();
        agents().forEach(AgentProcess::loseStreams);
        countStreams();
    }

    void countStreams() {
        engine.setRunningStreams(
                agents().stream().mapToInt(AgentProcess::runningStreams).sum());
    }

    private AgentProcess newAgent() {
        agents++;
        return new AgentProcess(world, this, engine.name() + "-agent#" + agents);
    }
}
