package org.aspenmoor.internal.bench.policy.engine;

/** Whether a fake engine works. */
public enum EngineState {
    /** It takes requests. */
    READY,
    /** It ends what it has begun before its role change. */
    DRAINING,
    /** It is changing its role. */
    AWAY,
    /** It is gone. */
    WITHDRAWN
}
