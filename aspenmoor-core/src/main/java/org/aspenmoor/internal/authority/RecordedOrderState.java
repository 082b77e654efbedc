package org.aspenmoor.internal.authority;

/** How far an order is, as the engine's record says. */
public enum RecordedOrderState {
    /** Recorded before it was given; until it is settled no other order is given. */
    STARTED,
    /** The engine carried it out. */
    FINISHED,
    /** The engine refused it or gave it up halfway. */
    FAILED,
    /** Its agent knows that it was never sent. */
    WITHDRAWN,
    /** Its longest time on the wire has passed and the engine has never seen it. */
    ABANDONED;

    /** Says whether the next order may be given. */
    public boolean settled() {
        return this != STARTED;
    }
}
