package org.aspenmoor.internal.bench.soak;

/** What the soak makes go wrong. */
enum FaultKind {
    /** An entry is killed between two of its actions; another takes its place. */
    ENTRY_KILLED,
    /** An entry runs no instruction for a while. */
    ENTRY_PAUSED,
    /** An agent is killed between two of its actions; another takes its place. */
    AGENT_KILLED,
    /** An agent runs no instruction for a while. */
    AGENT_PAUSED,
    /** An agent is paused, and another is started beside the same engine before the first wakes up. */
    AGENT_REPLACED_WHILE_PAUSED,
    /** A process is killed while a store call or an order is on its way. */
    KILLED_IN_CALL,
    /** A process is cut off from the store. */
    CUT_FROM_STORE,
    /** An agent is cut off from its engine. */
    CUT_FROM_ENGINE,
    /** The store answers nobody. */
    STORE_OUTAGE,
    /** Time passes, and others act, before a write arrives. */
    PAUSED_BEFORE_WRITE,
    /** Time passes, and others act, after a write took effect and before its sender knows. */
    PAUSED_AFTER_WRITE,
    /** A planner is paused for longer than its lease while it publishes. */
    LEASE_LAPSED_IN_WRITE,
    /** The answer to a write that took effect is lost. */
    STORE_ANSWER_LOST,
    /** A write is lost, and its sender cannot tell. */
    STORE_REQUEST_LOST,
    /** A write lands long after its sender gave up. */
    STORE_WRITE_LATE,
    /** A read is answered by a replica that lags. */
    STALE_READ,
    /** An order is lost. */
    ORDER_LOST,
    /** The answer to an order is lost. */
    ORDER_ANSWER_LOST,
    /** An order arrives after its sender gave up, within its longest time on the wire. */
    ORDER_LATE,
    /** An order arrives after its longest time on the wire. */
    ORDER_BEYOND_WINDOW,
    /** An engine crashes, halfway through a change or not. */
    ENGINE_CRASHED,
    /** An engine gives a change up halfway. */
    ENGINE_GAVE_UP,
    /** A caller sends one call to two entries at once. */
    SAME_KEY_TWICE,
    /** A caller uses a key again with another body. */
    KEY_WITH_OTHER_BODY,
    /** A call to a plain service is lost. */
    CALL_LOST,
    /** The answer of a plain service is lost. */
    CALL_ANSWER_LOST,
    /** A frame of a stream arrives late. */
    FRAME_DELAYED,
    /** A frame of a stream arrives twice. */
    FRAME_DOUBLED,
    /** A frame of a stream reaches the handler of another request. */
    FRAME_CROSSED,
    /** A frame of a stream is lost. */
    FRAME_LOST,
    /** A backend server begins to leave. */
    HOST_LEAVES,
    /** A host returns under the same address. */
    HOST_RETURNS,
    /** An entry is cut off from a backend server. */
    LINK_CUT,
    /** A link gets slow. */
    LINK_SLOW,
    /** The host list stands still. */
    HOST_LIST_LAGS
}
