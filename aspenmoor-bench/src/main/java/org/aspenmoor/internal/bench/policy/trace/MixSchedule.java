package org.aspenmoor.internal.bench.policy.trace;

/** Work mix over time. */
@FunctionalInterface
interface MixSchedule {
    WorkMix at(double seconds);
}
