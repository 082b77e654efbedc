package org.aspenmoor.internal.fake;

/** A fault of one call to an engine. */
public enum EngineFault {
    /** No fault. */
    NONE,
    /** The call never arrives. */
    CALL_LOST,
    /** An order arrives and its response is lost. */
    ANSWER_LOST,
    /** An order arrives after its sender has given up on the call. */
    ARRIVES_LATE
}
