package org.aspenmoor.internal.agent;

/**
 * Blocks new work after a pause of the whole process, until the order thread has confirmed its ownership of the engine
 * again.
 */
interface PauseGuard {
    /** A guard for backend servers that take no orders, to which pauses make no difference. */
    PauseGuard NONE = new PauseGuard() {
        @Override
        public boolean detectPause() {
            return false;
        }

        @Override
        public boolean isPermissionCurrent(long knownPauses) {
            return true;
        }
    };

    /** Returns whether the process was paused since the last call; called by the event loop before each message. */
    boolean detectPause();

    /**
     * Returns whether a permission given by the order thread is still valid, that is, no pause occurred after it was
     * given.
     */
    boolean isPermissionCurrent(long knownPauses);
}
