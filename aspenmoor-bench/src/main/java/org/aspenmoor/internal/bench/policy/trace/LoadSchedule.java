package org.aspenmoor.internal.bench.policy.trace;

/** Load over time, as a fraction of the engine time available in the fleet. */
@FunctionalInterface
interface LoadSchedule {
    double at(double seconds);
}
