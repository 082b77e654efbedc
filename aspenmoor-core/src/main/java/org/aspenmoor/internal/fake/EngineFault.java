package org.aspenmoor.internal.fake;

/** What may go wrong with one call to an engine. */
public enum EngineFault {
    /** Nothing. */
    NONE,
    /** The call never arrives. */
    CALL_LOST,
    /** An order arrives and its answer is lost. */
    ANSWER_LOST,
    /** An order arrives after its sender gave up. */
    ARRIVES_LATE
}
