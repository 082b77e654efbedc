package org.aspenmoor.internal.rollout;

/** Whether an engine accepts new requests. */
public enum EngineAvailability {
    /** Accepts new requests. */
    SERVING,
    /** Completes its streams and accepts no new requests, because the rollout drains it. */
    DRAINING,
    /** Executes an order and serves no requests. */
    LOADING,
    /** Is being removed from the fleet or is unreachable; the rollout ignores it. */
    GONE
}
