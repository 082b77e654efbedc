package org.aspenmoor.internal.agent;

/** Keeps new work out after the whole process has stood still, until the order thread has proved its right again. */
interface PauseGuard {
    /** A guard for backend servers that take no orders: a pause changes nothing for them. */
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

    /** Says whether the process has stood still since the last call; the event loop asks before any work. */
    boolean detectPause();

    /** Says whether a permission given by the order thread still counts: no pause has come after it. */
    boolean isPermissionCurrent(long knownPauses);
}
