package org.aspenmoor.internal.serving.quarantine;

/**
 * Faults injected into a simulation besides fatal requests.
 *
 * @param lostFraction the fraction of reports between entries that are lost
 * @param restartOneMilliseconds interval between restarts of one entry; 0 for none
 * @param restartAllMilliseconds interval between restarts of all entries at once; 0 for none
 * @param terminateServerMilliseconds interval between server terminations for other reasons; 0 for none
 */
record FleetFaults(
        double lostFraction, int restartOneMilliseconds, int restartAllMilliseconds, int terminateServerMilliseconds) {
    static FleetFaults none() {
        return new FleetFaults(0, 0, 0, 0);
    }

    FleetFaults losingReports(double fraction) {
        return new FleetFaults(fraction, restartOneMilliseconds, restartAllMilliseconds, terminateServerMilliseconds);
    }

    FleetFaults restartingOneEvery(int milliseconds) {
        return new FleetFaults(lostFraction, milliseconds, restartAllMilliseconds, terminateServerMilliseconds);
    }

    FleetFaults restartingAllEvery(int milliseconds) {
        return new FleetFaults(lostFraction, restartOneMilliseconds, milliseconds, terminateServerMilliseconds);
    }

    FleetFaults terminatingServersEvery(int milliseconds) {
        return new FleetFaults(lostFraction, restartOneMilliseconds, restartAllMilliseconds, milliseconds);
    }
}
