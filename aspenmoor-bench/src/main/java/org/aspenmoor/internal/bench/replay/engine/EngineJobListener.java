package org.aspenmoor.internal.bench.replay.engine;

/** Hears how an engine gets on with one job. */
public interface EngineJobListener {
    /** The prompt is computed, and the engine keeps it for another one. */
    void promptPrefilled();

    /** An event of the answer left the engine. */
    void eventSent();

    /** The answer is complete. */
    void answerCompleted();

    /** The engine did not run the job: it is full, changes its role or has the wrong one. */
    void rejected();

    /** The engine is gone with all that it had. */
    void lost();
}
