package org.aspenmoor.internal.rollout;

/** Whether an engine takes new work. */
public enum EngineAvailability {
    /** Takes new requests. */
    SERVING,
    /** Ends its streams and takes nothing new, because the rollout asked for it. */
    DRAINING,
    /** Carries out an order and serves nothing. */
    LOADING,
    /** Leaves the fleet or cannot be reached; the rollout leaves it alone. */
    GONE
}
