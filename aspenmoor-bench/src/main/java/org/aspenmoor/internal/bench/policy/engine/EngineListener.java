package org.aspenmoor.internal.bench.policy.engine;

import java.util.Optional;
import org.aspenmoor.internal.routing.CacheEvent;

/** What a fake engine tells the run. */
public interface EngineListener {
    /** The first token is out. */
    void firstToken(EngineJob job);

    /** The whole answer is out. */
    void answerCompleted(EngineJob job, FakeEngine engine);

    /** The engine never started the job and will not. */
    void jobRejected(EngineJob job, FakeEngine engine);

    /** The engine was withdrawn while it worked on the job. */
    void jobLost(EngineJob job, FakeEngine engine);

    /** The engine's role or readiness is another. */
    void stateChanged(FakeEngine engine);

    /** The prefix cache has changed. */
    void cacheChanged(FakeEngine engine, CacheEvent event);

    /** Finds an engine that can take over answers of one that changes its role. */
    Optional<FakeEngine> chooseHandoffTarget(FakeEngine leaving);
}
