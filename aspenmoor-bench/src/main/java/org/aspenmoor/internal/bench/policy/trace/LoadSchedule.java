package org.aspenmoor.internal.bench.policy.trace;

/** The load at each moment, as a share of the engine time the fleet has. */
@FunctionalInterface
interface LoadSchedule {
    double at(double seconds);
}
