package org.aspenmoor.internal.bench.policy.engine;

/** State of a fake engine. */
public enum EngineState {
    /** It accepts requests. */
    READY,
    /** It completes the work it has started, before a role change. */
    DRAINING,
    /** It is changing its role. */
    AWAY,
    /** It has been withdrawn from the fleet. */
    WITHDRAWN
}
