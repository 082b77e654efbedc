package org.aspenmoor.internal.bench.policy.trace;

/** The mix at each moment. */
@FunctionalInterface
interface MixSchedule {
    WorkMix at(double seconds);
}
