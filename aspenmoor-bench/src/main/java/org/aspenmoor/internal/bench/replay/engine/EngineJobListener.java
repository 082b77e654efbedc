package org.aspenmoor.internal.bench.replay.engine;

/** Receives the progress of one job at an engine. */
public interface EngineJobListener {
    /** The prompt is prefilled, and the engine holds its cache for the engine that will decode. */
    void promptPrefilled();

    /** An event of the answer was sent. */
    void eventSent();

    /** The answer is complete. */
    void answerCompleted();

    /** The engine did not run the job: it is full, is changing its role or has the wrong role. */
    void rejected();

    /** The engine went down, and the job was lost. */
    void lost();
}
