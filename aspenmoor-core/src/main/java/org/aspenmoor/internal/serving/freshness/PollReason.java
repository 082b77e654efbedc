package org.aspenmoor.internal.serving.freshness;

/** Why an entry polls a collection. */
public enum PollReason {
    /** Too few entries report observations, or the settings state no bound: each entry polls by itself. */
    REGULAR,
    /** A watch has just started. */
    STARTED,
    /** This entry polls on behalf of the others. */
    OBSERVER,
    /** Another entry saw another state more recently. */
    OTHER_STATE,
    /** Nobody has confirmed the known state recently enough. */
    CONFIRMATION_OLD,
    /** The longest interval between two polls of one entry has passed. */
    LONGEST_INTERVAL;

    /** Returns whether the poll is one of those that remain when entries confirm the state to each other. */
    boolean expectedWhenConfirmed() {
        return this == OBSERVER || this == OTHER_STATE || this == LONGEST_INTERVAL;
    }
}
