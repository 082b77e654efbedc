package org.aspenmoor.internal.serving.quarantine;

/**
 * Faults injected into a simulation besides fatal requests.
 *
 * @param lostShare the fraction of reports between entries that are lost
 * @param restartOneMilliseconds interval between restarts of one entry; 0 for none
 * @param restartAllMilliseconds interval between restarts of all entries at once; 0 for none
 * @param endServerMilliseconds interval between server terminations for other reasons; 0 for none
 */
record FleetTroubles(
        double lostShare, int restartOneMilliseconds, int restartAllMilliseconds, int endServerMilliseconds) {
    static FleetTroubles none() {
        return new FleetTroubles(0, 0, 0, 0);
    }

    FleetTroubles losing(double share) {
        return new FleetTroubles(share, restartOneMilliseconds, restartAllMilliseconds, endServerMilliseconds);
    }

    FleetTroubles restartingOneEvery(int milliseconds) {
        return new FleetTroubles(lostShare, milliseconds, restartAllMilliseconds, endServerMilliseconds);
    }

    FleetTroubles restartingAllEvery(int milliseconds) {
        return new FleetTroubles(lostShare, restartOneMilliseconds, milliseconds, endServerMilliseconds);
    }

    FleetTroubles endingServersEvery(int milliseconds) {
        return new FleetTroubles(lostShare, restartOneMilliseconds, restartAllMilliseconds, milliseconds);
    }
}
