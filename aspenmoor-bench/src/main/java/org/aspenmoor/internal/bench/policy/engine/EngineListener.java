package org.aspenmoor.internal.bench.policy.engine;

import java.util.Optional;
import org.aspenmoor.internal.routing.CacheEvent;

/** Receives the events of fake engines. */
public interface EngineListener {
    /** The first token of the answer was generated. */
    void firstToken(EngineJob job);

    /** The answer is complete. */
    void answerCompleted(EngineJob job, FakeEngine engine);

    /** The engine did not start the job and will not start it. */
    void jobRejected(EngineJob job, FakeEngine engine);

    /** The engine was withdrawn while it worked on the job. */
    void jobLost(EngineJob job, FakeEngine engine);

    /** The engine's role or state has changed. */
    void stateChanged(FakeEngine engine);

    /** The prefix cache of the engine has changed. */
    void cacheChanged(FakeEngine engine, CacheEvent event);

    /** Returns an engine that can continue the answers of an engine that is changing its role. */
    Optional<FakeEngine> chooseHandoffTarget(FakeEngine source);
}
